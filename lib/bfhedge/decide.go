package bfhedge

import "time"

// Request describes a request whose first copy is on its way.
type Request struct {
	// Repeatable is set if the request may run more than once, Suspected if it may be what crashes
	// targets.
	Repeatable, Suspected bool
	// Sent is the number of targets that the request has been sent to, with the first copy, and
	// MaxAttempts the number that it may be sent to.
	Sent, MaxAttempts int
	// Left is the time until the request's deadline, Usual the usual time from a send to its answer.
	Left, Usual time.Duration
	// AcceptRate is the share of recent sends to the service that found room, from 0 to 1.
	AcceptRate float64
}

// minAcceptRate is the accept rate from which a service counts as having room. Below it, each copy
// takes a slot from a request that has none.
const minAcceptRate = 0.95

// Allows reports whether a copy of the request may be sent, provided that the budgets allow it and
// that another target has room.
func (r Request) Allows() bool {
	switch {
	case !r.Repeatable, r.Suspected:
		return false
	case r.Sent >= r.MaxAttempts:
		return false
	case r.Left <= r.Usual:
		// The copy would not be answered in time either.
		return false
	}
	return r.AcceptRate >= minAcceptRate
}

// maxLoad is the share of a target's slots in use, with the copy, up to which it has room for one.
const maxLoad = 0.75

// HasRoom reports whether a target with a share of its slots in use, which includes the copy, has room
// for it.
func HasRoom(load float64) bool { return load <= maxLoad }
