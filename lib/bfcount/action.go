package bfcount

import (
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// Question asks what the members of Range hold.
type Question struct {
	From  uint64       `cbor:"1,keyasint"`
	Nonce uint32       `cbor:"2,keyasint"`
	Range bfspan.Range `cbor:"3,keyasint,omitzero"`
	Wait  uint32       `cbor:"4,keyasint"` // milliseconds
}

// Answer is what the members of a question's range hold.
type Answer struct {
	Nonce uint32 `cbor:"1,keyasint"`
	Tally Tally  `cbor:"2,keyasint"`
}

// Action is the sealed set of what a count asks its node to do.
type Action interface{ isAction() }

// Ask sends a question to a relay.
type Ask struct {
	Relay    *bfroster.Member
	Question Question
}

// Reply sends an answer to the member that asked, named by its hash.
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
