package bfcount

import (
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// Question requests the tally of the members in Range.
type Question struct {
	From  uint64       `cbor:"1,keyasint"`
	Nonce uint32       `cbor:"2,keyasint"`
	Range bfspan.Range `cbor:"3,keyasint,omitzero"`
	Wait  uint32       `cbor:"4,keyasint"` // milliseconds
}

// Answer is the tally of the members in a query's range.
type Answer struct {
	Nonce uint32 `cbor:"1,keyasint"`
	Tally Tally  `cbor:"2,keyasint"`
}

// Action is a side effect that the node must perform; the set of actions is sealed.
type Action interface{ isAction() }

// Ask sends a query to a relay.
type Ask struct {
	Relay    *bfroster.Member
	Question Question
}

// Reply sends a response to the member that sent the query, identified by its hash.
type Reply struct {
	To     uint64
	Answer Answer
}

// Done is the result of a census that this node's own operator started.
type Done struct {
	ID    uint32
	Tally Tally
}

func (Ask) isAction()   {}
func (Reply) isAction() {}
func (Done) isAction()  {}
