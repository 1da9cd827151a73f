package bfadmit

import (
	"fmt"
	"time"
)

// Request is what the gate needs to know of a request and of its policy's limits.
//
// Priority, Concurrency and TenantLimit hold for the whole class; the newest
// request's are in force, so that an event's start changes them for those that wait.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Priority int
	Deadline time.Time
	// Queue is how many of the class may wait; 0 means none.
	Queue int
	// Concurrency caps the class's slots; 0 means no cap.
	Concurrency int
	// TenantLimit caps the slots of one tenant in the class; 0 means no cap.
	TenantLimit int
}

// Verdict is the sealed set of what the gate says to a request: Run, Wait and Refuse.
type Verdict interface{ verdict() }

// Run means that the request has a slot; Finish gives it back.
type Run struct{}

// Wait means that the request is queued; a Notice will say what comes of it.
type Wait struct{}

// Refuse means that the request was not run.
type Refuse struct {
	reason     Reason
	retryAfter time.Duration
}

// Reason is why the request was refused.
func (r Refuse) Reason() Reason { return r.reason }

// RetryAfter is when the target expects room for the request, 0 when another target should be asked at once.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

func (Run) verdict()    {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Reason is why a request was refused.
type Reason int

// The reasons.
const (
	// QueueFull means that as many wait as may.
	QueueFull Reason = iota + 1
	// Unreachable means that the request can't be expected to finish by its deadline.
	Unreachable
	// Displaced means that a waiter gave its place to one with a better claim.
	Displaced
	// Draining means that the target takes no new work.
	Draining
	// Duplicate means that a request of the same ID is running or waiting: a fault of the caller of this package.
	Duplicate
)

// String is the reason in a few words.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue full"
	case Unreachable:
		return "deadline can't be met"
	case Displaced:
		return "displaced"
	case Draining:
		return "draining"
	case Duplicate:
		return "duplicate"
	}
	return fmt.Sprintf("reason %d", int(r))
}

// Notice tells a waiter its verdict, Run or Refuse.
type Notice struct {
	id      string
	verdict Verdict
}

// ID names the request.
func (n Notice) ID() string { return n.id }

// Verdict is Run or Refuse.
func (n Notice) Verdict() Verdict { return n.verdict }

// Outcome is how a request that had a slot ended.
type Outcome int

// The outcomes.
const (
	// Done means that the target answered in whole.
	Done Outcome = iota
	// Shed means that the target itself refused the request for want of room.
	Shed
	// Abandoned means that the answer was not waited for.
	Abandoned
	// Unused means that the request was never handed to the target.
	Unused
)

// UnknownRequestError reports the end of a request that has no slot.
type UnknownRequestError struct{ ID string }

// Error names the request.
func (e *UnknownRequestError) Error() string { return fmt.Sprintf("request %q has no slot", e.ID) }

// Load is how full the target is.
type Load struct {
	inUse, queued, slots int
	serviceTime          time.Duration
}

// InUse is how many slots are in use.
func (l Load) InUse() int { return l.inUse }

// Queued is how many requests wait.
func (l Load) Queued() int { return l.queued }

// Slots is how many the gate would use now.
func (l Load) Slots() int { return l.slots }

// ServiceTime is how long a request runs on average, 0 if none has ended.
func (l Load) ServiceTime() time.Duration { return l.serviceTime }
