package bfspread

import (
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfroster"
)

// Action is the sealed set of effects that the caller of Spreader carries out.
type Action interface{ isAction() }

// Send sends a message to a member, as a datagram if it fits into one.
//
// If Address is empty, the message goes to the source address of the message
// that it answers.
type Send struct {
	To      uint64
	Address string
	Message Message
}

// ReadHead requests the table's head; the caller passes it to HeadRead.
type ReadHead struct{}

// FetchDeltas requests the versions after After from the store; the caller passes
// them to StoreDeltas.
type FetchDeltas struct{ After bfconfig.Version }

// FetchSnapshot requests a snapshot of version AtLeast or later from the store; the
// caller passes it to StoreSnapshot.
type FetchSnapshot struct{ AtLeast bfconfig.Version }

// Adopt reports a version that the node now holds; versions are strictly increasing.
type Adopt struct{ State *bfconfig.State }

// RejectVersion reports a version that can't be applied; the node keeps the older one.
type RejectVersion struct {
	Version bfconfig.Version
	Err     error
}

// CensusDone is the result of Census.
type CensusDone struct {
	ID    uint32
	Tally bfcount.Tally
}

// Report passes an unexpected error to the caller.
type Report struct{ Err error }

func (Send) isAction()          {}
func (ReadHead) isAction()      {}
func (FetchDeltas) isAction()   {}
func (FetchSnapshot) isAction() {}
func (Adopt) isAction()         {}
func (RejectVersion) isAction() {}
func (CensusDone) isAction()    {}
func (Report) isAction()        {}

func sendTo(member *bfroster.Member, message Message) Send {
	return Send{To: member.Key().Hash, Address: member.Row().Peer, Message: message}
}
