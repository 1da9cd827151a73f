package bfmember

import (
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
)

// Action is the sealed set of effects that the caller of Members carries out.
type Action interface{ isAction() }

// Send requests that a message is sent to an address, as a datagram if it fits into one.
type Send struct {
	Address string
	Message bfgossip.Message
}

// AdvertReceived reports the configuration that a member advertised.
type AdvertReceived struct {
	From   uint64
	Advert bfgossip.Advert
}

// Changed reports that row New replaced row Old in the view; Old is empty for a new member.
type Changed struct{ Old, New bfroster.Row }

// Refuted reports that another node sent Received as this node's row and that this
// node now gossips Self instead.
//
// Self has a new incarnation if Received declared the node dead; state that is bound
// to the old incarnation is then invalid.
type Refuted struct{ Received, Self bfroster.Row }

// Joined reports that the node holds a complete view; it contains only the node
// itself if no peer was reachable.
type Joined struct{ Members int }

// ReadMeeting requests the meeting rows, through which nodes find their first peer; the
// caller passes them to MeetingRead.
type ReadMeeting struct{}

// WriteMeeting requests the write of a meeting row; a failed write isn't retried.
type WriteMeeting struct{ Meeting bfgossip.Meeting }

// Report reports an unexpected error, to be logged by the caller.
type Report struct{ Err error }

func (Send) isAction()           {}
func (AdvertReceived) isAction() {}
func (Changed) isAction()        {}
func (Refuted) isAction()        {}
func (Joined) isAction()         {}
func (ReadMeeting) isAction()    {}
func (WriteMeeting) isAction()   {}
func (Report) isAction()         {}
