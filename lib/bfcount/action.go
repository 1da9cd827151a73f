package bfcount

import (
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// Query requests the tally of the members in Range.
type Query struct {
	From  uint64       `cbor:"1,keyasint"`
	Nonce uint32       `cbor:"2,keyasint"`
	Range bfspan.Range `cbor:"3,keyasint,omitzero"`
	Wait  uint32       `cbor:"4,keyasint"` // milliseconds
}

// Response is the tally of the members in a query's range.
type Response struct {
	Nonce uint32 `cbor:"1,keyasint"`
	Tally Tally  `cbor:"2,keyasint"`
}

// Action is a side effect that the node must perform; the set of actions is sealed.
type Action interface{ isAction() }

// SendQuery sends a query to a relay.
type SendQuery struct {
	Relay *bfroster.Member
	Query Query
}

// SendResponse sends a response to the member that sent the query, identified by its hash.
type SendResponse struct {
	To       uint64
	Response Response
}

// Done is the result of a census that this node's own operator started.
type Done struct {
	ID    uint32
	Tally Tally
}

func (SendQuery) isAction()    {}
func (SendResponse) isAction() {}
func (Done) isAction()         {}
