package bfspread

import (
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfroster"
)

// Action is the sealed set of what a decision asks its shell to do.
type Action interface{ isAction() }

// Send sends a message to a member, as a datagram where it fits one.
//
// Without an Address it goes to where the message it answers came from.
type Send struct {
	To      uint64
	Address string
	Message Message
}

// ReadHead asks for the table's head, to be given to HeadRead.
type ReadHead struct{}

// FetchDeltas asks the store for the versions after After, to be given to StoreDeltas.
type FetchDeltas struct{ After bfconfig.Version }

// FetchSnapshot asks the store for a whole state of at least AtLeast, to be given to StoreSnapshot.
type FetchSnapshot struct{ AtLeast bfconfig.Version }

// Adopt hands out a version that the node now holds; versions come in rising order.
type Adopt struct{ State *bfconfig.State }

// RefuseVersion reports a version that can't be applied; the older one stays in force.
type RefuseVersion struct {
	Version bfconfig.Version
	Err     error
}

// CensusDone answers Census.
type CensusDone struct {
	ID    uint32
	Tally bfcount.Tally
}

// Report passes on something that should not happen.
type Report struct{ Err error }

func (Send) isAction()          {}
func (ReadHead) isAction()      {}
func (FetchDeltas) isAction()   {}
func (FetchSnapshot) isAction() {}
func (Adopt) isAction()         {}
func (RefuseVersion) isAction() {}
func (CensusDone) isAction()    {}
func (Report) isAction()        {}

func sendTo(member *bfroster.Member, message Message) Send {
	return Send{To: member.Key().Hash, Address: member.Row().Peer, Message: message}
}
