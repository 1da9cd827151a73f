package bfhost

import (
	"time"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bflimit"
	"bilberryflow.org/lib/bfresource"
)

// Job is one request for the target, with its deadline and policy.
type Job struct {
	Request  *bfexchange.Request
	Deadline time.Time
	Policy   Policy
	// KnownLimit is the target's limit as the entry knows it.
	KnownLimit bflimit.Known
}

// mayProbe reports whether the request may be lost to learn what the target can run.
func (j Job) mayProbe() bool {
	return j.Policy.Repeatable && !j.Policy.Nested && j.Request.Rest == nil
}

// Policy states how the target's node handles a request: its statistics, priority, retry budget
// and maximum waits. The entry sends it with the request.
type Policy struct {
	// Service is the destination service.
	Service string
	// Class is the name of the request's route, for per-class statistics.
	Class string
	// Rank is the priority at a full target; 0 is the highest.
	Rank int
	// Workspace is the workspace of the request, or of the one that it is nested in; "" for none.
	Workspace string
	// Nested is set if a target made the request while running another one.
	Nested bool
	// Repeat is set if the request is a retry.
	Repeat bool
	// Inherited is set if the request is nested in a run that is a retry.
	Inherited bool
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// ChosenVersion is set if the entry chose the target for the version of its software.
	ChosenVersion bool
	// Trial is set if the entry tries a version that has not been found good.
	Trial bool
	// Late is set if the request is expected to miss its objective at any target.
	Late bool
	// MaxSlotWait is how long the request may wait for a slot.
	MaxSlotWait time.Duration
	// MaxLinkWait is how long the answer may wait for the link of the target's node, 0 for no
	// limit.
	MaxLinkWait time.Duration
	// LongAnswer is set if the answer is expected to be long and the link of the target's node is narrow.
	LongAnswer *LongAnswer
}

// origin classifies the run for the retry budgets.
func (p Policy) origin() bfbudget.Origin {
	switch {
	case p.Repeat:
		return bfbudget.Retry{}
	case p.Inherited:
		return bfbudget.Inherited{}
	}
	return bfbudget.First{}
}

// Result is the outcome of a job: Refused, Answered, Shed, Lost or Expired.
type Result interface{ result() }

// Reason is why a node did not send a request to its target.
type Reason string

// Reasons for a refusal.
const (
	// Full means that no slot became free in time.
	Full Reason = "full"
	// Limited means that the target gets no more requests by the limit that it has named.
	Limited Reason = "limited"
	// Leaving means that the target or its node accepts no new requests.
	Leaving Reason = "leaving"
	// NoTarget means that the node has no target of the service.
	NoTarget Reason = "no-target"
	// WrongService means that the node's target belongs to another service.
	WrongService Reason = "other-service"
	// Unreadable means that the node could not parse another node's request.
	Unreadable Reason = "unreadable"
	// Unreachable means that no byte reached the target.
	Unreachable Reason = "unreached"
	// OverBudget means that the request is a retry, and the retry budgets of the services
	// that its run calls don't cover those calls.
	OverBudget Reason = "unborne"
	// Withheld means that a roll-out gives the target's version no such requests at present.
	Withheld Reason = "withheld"
	// Quarantined means that several targets crashed while running the request.
	Quarantined Reason = "quarantined"
)

// LacksCapacity reports whether a refusal for the reason depends on the target's current load only.
func (r Reason) LacksCapacity() bool { return r == Full || r == Limited }

// Refused means that the request has not run and will not run due to this send.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
	// BeyondShare is set if the workspace of the request has its fair share of the target's slots.
	BeyondShare bool
	// Err is the error that prevented the send, nil if a node refused the request.
	Err error
}

// NewUnsent returns the refusal of a request of which no byte was sent, for err. A process without a connection
// left says nothing of the other side.
func NewUnsent(err error) Refused {
	if bfexchange.IsOutOfConnections(err) {
		return Refused{Reason: Full, RetryAfter: bfresource.RetryAfter}
	}
	return Refused{Reason: Unreachable, Err: err}
}

// Answered carries the target's answer.
type Answered struct{ Answer *bfanswer.Answer }

// Shed means that the target answered that it has not run the request.
type Shed struct {
	Status int
	// RetryAfter is the retry delay for the caller; the entry sets it.
	RetryAfter time.Duration
}

// Lost means that the request was sent and no complete answer arrived: it may have run.
type Lost struct {
	Reason string
	// UnderLoad is set if the loss does not speak against the target: it resets connections when it is full, and
	// was, or the client was too slow while others waited.
	UnderLoad bool
}

// Expired means that the deadline passed; Sent is set if the request was sent to the target.
type Expired struct{ Sent bool }

func (Refused) result()  {}
func (Answered) result() {}
func (Shed) result()     {}
func (Lost) result()     {}
func (Expired) result()  {}
