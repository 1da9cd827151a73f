package bfretry

import (
	"slices"
	"time"
)

const (
	// maxAttempts bounds the sends of one request at one hop, whatever the budget holds.
	maxAttempts = 3
	// overloadPause spreads retries after a refusal for want of room.
	overloadPause = 10 * time.Millisecond
)

// Outcome is the sealed set of what a send may come back with instead of the caller's answer: NotRun, Unknown and Failed.
type Outcome interface{ outcome() }

// Reason is why a request was proven not run.
type Reason int

// The reasons why a request was not run.
const (
	// Overload is a refusal by a target's node or a target for want of room.
	Overload Reason = iota
	// Leaving is a refusal by a target that takes no new work.
	Leaving
	// Unreached means that the request never got to the target's node, or was barred there.
	Unreached
)

// NotRun is the outcome of a send that is proven not to have run.
type NotRun struct {
	Reason     Reason
	RetryAfter time.Duration
	// Final means that a deeper hop has already done what could be done.
	Final bool
}

// Unknown is the outcome of a send that may or may not have run.
type Unknown struct {
	// Final means that a deeper hop has already done what could be done.
	Final bool
}

// Failed is the outcome of a send whose target answered in whole with an error of its own.
type Failed struct{}

func (NotRun) outcome()  {}
func (Unknown) outcome() {}
func (Failed) outcome()  {}

// Action is the sealed set of what to do next: Retry and GiveUp.
type Action interface{ action() }

// Retry is the order to send the request again.
type Retry struct {
	after time.Duration
	notTo []string
}

// After is how long to wait first.
func (r Retry) After() time.Duration { return r.after }

// NotTo names the targets that the request must not go to again.
func (r Retry) NotTo() []string { return r.notTo }

// GiveUp is the order to answer the caller; the answer is final for every hop above.
type GiveUp struct{ answer Answer }

// Answer is what the caller is told.
func (g GiveUp) Answer() Answer { return g.answer }

func (Retry) action()  {}
func (GiveUp) action() {}

// Answer is the sealed set of what a caller can be told: AnswerNotRun, AnswerUnknown and AnswerFailed.
type Answer interface{ answer() }

// AnswerNotRun tells the caller that its request was not run and when to come back.
type AnswerNotRun struct{ retryAfter time.Duration }

// RetryAfter is how long the caller should wait before it asks again.
func (a AnswerNotRun) RetryAfter() time.Duration { return a.retryAfter }

// AnswerUnknown tells the caller that its request may or may not have run and will not be sent again.
type AnswerUnknown struct{}

// AnswerFailed hands the target's own answer on.
type AnswerFailed struct{}

func (AnswerNotRun) answer()  {}
func (AnswerUnknown) answer() {}
func (AnswerFailed) answer()  {}

// Attempt is what an entry node knows of a request after a send.
type Attempt struct {
	// Idempotent is the entry node's stamp on the request.
	Idempotent bool
	Deadline   time.Time
	// Tried names the targets the request was sent to, one for each send so far.
	Tried []string
	// Resent means that a hop above sent this copy as a retry.
	Resent bool
}

// Decide says what to do after a send with outcome; random spreads the pauses.
func Decide(outcome Outcome, attempt Attempt, now time.Time, budget *Budget, random uint64) Action {
	switch outcome := outcome.(type) {
	case NotRun:
		pause := pauseAfter(outcome.Reason, random)
		if !outcome.Final && mayRetry(attempt, now, pause, budget) {
			return Retry{after: pause, notTo: slices.Clone(attempt.Tried)}
		}
		return GiveUp{AnswerNotRun{outcome.RetryAfter}}
	case Unknown:
		if attempt.Idempotent && !outcome.Final && mayRetry(attempt, now, 0, budget) {
			return Retry{notTo: slices.Clone(attempt.Tried)}
		}
		return GiveUp{AnswerUnknown{}}
	case Failed:
		// The target ran the request and this is its whole answer: it is the caller's.
		return GiveUp{AnswerFailed{}}
	}
	// Nothing is known of an outcome that is none of these.
	return GiveUp{AnswerUnknown{}}
}

// mayRetry takes from the budget last, so that a retry that cannot be made costs nothing.
func mayRetry(attempt Attempt, now time.Time, pause time.Duration, budget *Budget) bool {
	if attempt.Resent || len(attempt.Tried) >= maxAttempts {
		return false
	}
	if !now.Add(pause).Before(attempt.Deadline) {
		return false
	}
	return budget.take(now)
}

// pauseAfter is nothing where another target can take the request at once.
func pauseAfter(reason Reason, random uint64) time.Duration {
	if reason != Overload {
		return 0
	}
	return time.Duration(random % uint64(overloadPause))
}
