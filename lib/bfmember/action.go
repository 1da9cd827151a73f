package bfmember

import (
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
)

// Action is the sealed set of what a decision asks its shell to do.
type Action interface{ isAction() }

// Send sends a message to an address, as a datagram where it fits one.
type Send struct {
	Address string
	Message bfgossip.Message
}

// Heard reports what configuration a member advertised.
type Heard struct {
	From   uint64
	Advert bfgossip.Advert
}

// Changed reports a row that is now held in place of Old, which is empty for a new member.
type Changed struct{ Old, New bfroster.Row }

// Refuted reports that the fleet believed Told of this node, which now tells Self.
//
// Self has another incarnation if Told said that the node was dead: whatever is
// bound to the old incarnation is void.
type Refuted struct{ Told, Self bfroster.Row }

// Joined reports that the node holds a whole view, of itself alone where nobody could be found.
type Joined struct{ Members int }

// ReadMeeting asks for the meeting rows, to be given to MeetingRead.
type ReadMeeting struct{}

// WriteMeeting writes a meeting row; nothing depends on whether it succeeds.
type WriteMeeting struct{ Meeting bfgossip.Meeting }

// Report passes on something that should not happen.
type Report struct{ Err error }

func (Send) isAction()         {}
func (Heard) isAction()        {}
func (Changed) isAction()      {}
func (Refuted) isAction()      {}
func (Joined) isAction()       {}
func (ReadMeeting) isAction()  {}
func (WriteMeeting) isAction() {}
func (Report) isAction()       {}
