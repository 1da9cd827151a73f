package bfadmit

import (
	"fmt"
	"time"
)

// Request holds the properties of a request and the limits of its policy.
//
// Priority, Concurrency and TenantLimit apply to the whole class. Those of the
// newest request are in force, so that policy changes affect queued requests too.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Priority int
	Deadline time.Time
	// Queue bounds the queued requests of the class; 0 means none.
	Queue int
	// Concurrency caps the class's slots; 0 means no cap.
	Concurrency int
	// TenantLimit caps the slots of one tenant in the class; 0 means no cap.
	TenantLimit int
}

// Verdict is the gate's decision on a request. It is a sealed interface, implemented by
// Run, Wait and Refuse.
type Verdict interface{ verdict() }

// Run means that the request has a slot; Finish gives it back.
type Run struct{}

// Wait means that the request is queued; a Notice will follow.
type Wait struct{}

// Refuse means that the request is refused and does not run.
type Refuse struct {
	reason     Reason
	retryAfter time.Duration
}

// Reason returns why the request was refused.
func (r Refuse) Reason() Reason { return r.reason }

// RetryAfter returns the delay after which the target expects a free slot for the request.
// It is 0 if the request should go to another target at once.
func (r Refuse) RetryAfter() time.Duration { return r.retryAfter }

func (Run) verdict()    {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Reason is why a request was refused.
type Reason int

// The reasons why a request was refused.
const (
	// QueueFull means that the queue of the class or of the gate is full.
	QueueFull Reason = iota + 1
	// DeadlineUnreachable means that the request is not expected to finish by its deadline.
	DeadlineUnreachable
	// Displaced means that the queued request was removed in favor of another one.
	Displaced
	// Draining means that the target accepts no new requests.
	Draining
	// Duplicate means that a request with the same ID is running or queued, which is a
	// bug in the code that uses the gate.
	Duplicate
)

// String returns the reason in a few words.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue full"
	case DeadlineUnreachable:
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

// Notice is the verdict on a queued request, Run or Refuse.
type Notice struct {
	id      string
	verdict Verdict
}

// ID returns the ID of the request.
func (n Notice) ID() string { return n.id }

// Verdict returns Run or Refuse.
func (n Notice) Verdict() Verdict { return n.verdict }

// Outcome is how a request with a slot ended.
type Outcome int

// The outcomes of a request with a slot.
const (
	// Done means that the target answered completely.
	Done Outcome = iota
	// Shed means that the target itself refused the request for lack of capacity.
	Shed
	// Abandoned means that the request was given up before the target answered.
	Abandoned
	// Unused means that the request was never sent to the target.
	Unused
)

// UnknownRequestError reports a Finish or Release of a request that has no slot.
type UnknownRequestError struct{ ID string }

// Error returns the message with the ID.
func (e *UnknownRequestError) Error() string { return fmt.Sprintf("request %q has no slot", e.ID) }

// Load is the load of a target.
type Load struct {
	inUse, queued, slots int
	serviceTime          time.Duration
}

// InUse returns the number of slots in use.
func (l Load) InUse() int { return l.inUse }

// Queued returns the number of queued requests.
func (l Load) Queued() int { return l.queued }

// Slots returns the number of slots that may be used now.
func (l Load) Slots() int { return l.slots }

// ServiceTime returns the average time that a request runs, 0 if none has finished.
func (l Load) ServiceTime() time.Duration { return l.serviceTime }
