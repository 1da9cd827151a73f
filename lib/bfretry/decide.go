package bfretry

import (
	"slices"
	"time"
)

const (
	// maxAttempts bounds the sends of one request at one hop, whatever its budget.
	maxAttempts = 3
	// maxOverloadDelay is the upper bound of the random delay before a retry after Overload.
	maxOverloadDelay = 10 * time.Millisecond
)

// Outcome is the result of a send that returned no successful answer. It is a sealed
// interface, implemented by NotRun, Unknown and Failed.
type Outcome interface{ outcome() }

// Reason is why a request did not run.
type Reason int

// The reasons why a request did not run.
const (
	// Overload is a refusal by a target or its node for lack of capacity.
	Overload Reason = iota
	// Leaving is a refusal by a target that is shutting down.
	Leaving
	// Unreached means that the request didn't reach the target's node, or was blocked there.
	Unreached
)

// NotRun is the outcome of a send that is known not to have run.
type NotRun struct {
	Reason Reason
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
	// Final means that a deeper hop has already used the retries.
	Final bool
}

// Unknown is the outcome of a send that may or may not have run.
type Unknown struct {
	// Final means that a deeper hop has already used the retries.
	Final bool
}

// Failed is the outcome of a send to which the target returned a complete error response.
type Failed struct{}

func (NotRun) outcome()  {}
func (Unknown) outcome() {}
func (Failed) outcome()  {}

// Action is what to do after a send. It is a sealed interface, implemented by Retry and
// GiveUp.
type Action interface{ action() }

// Retry is the decision to send the request again.
type Retry struct {
	after    time.Duration
	excluded []string
}

// After returns the delay before the retry.
func (r Retry) After() time.Duration { return r.after }

// Excluded returns the names of the targets that the retry must not go to.
func (r Retry) Excluded() []string { return r.excluded }

// GiveUp is the decision to answer the caller. The answer is final for every hop above.
type GiveUp struct{ answer Answer }

// Answer returns the answer for the caller.
func (g GiveUp) Answer() Answer { return g.answer }

func (Retry) action()  {}
func (GiveUp) action() {}

// Answer is what the caller receives. It is a sealed interface, implemented by
// AnswerNotRun, AnswerUnknown and AnswerFailed.
type Answer interface{ answer() }

// AnswerNotRun means that the request did not run.
type AnswerNotRun struct{ retryAfter time.Duration }

// RetryAfter returns the time after which the caller should retry.
func (a AnswerNotRun) RetryAfter() time.Duration { return a.retryAfter }

// AnswerUnknown means that the request may or may not have run, and is not retried.
type AnswerUnknown struct{}

// AnswerFailed means that the target's error response is passed on.
type AnswerFailed struct{}

func (AnswerNotRun) answer()  {}
func (AnswerUnknown) answer() {}
func (AnswerFailed) answer()  {}

// Attempt is the state of a request at an entry node after a send.
type Attempt struct {
	// Idempotent is set if the entry node has marked the request as idempotent.
	Idempotent bool
	Deadline   time.Time
	// Tried holds the name of the target of each send so far.
	Tried []string
	// Resent means that a hop above sent this request as a retry.
	Resent bool
}

// Decide returns what to do after a send with outcome. It takes a token from budget if
// it returns a Retry. Random is a random number, used to spread the delays.
func Decide(outcome Outcome, attempt Attempt, now time.Time, budget *Budget, random uint64) Action {
	switch outcome := outcome.(type) {
	case NotRun:
		pause := retryDelay(outcome.Reason, random)
		if !outcome.Final && mayRetry(attempt, now, pause, budget) {
			return Retry{after: pause, excluded: slices.Clone(attempt.Tried)}
		}
		return GiveUp{AnswerNotRun{outcome.RetryAfter}}
	case Unknown:
		if attempt.Idempotent && !outcome.Final && mayRetry(attempt, now, 0, budget) {
			return Retry{excluded: slices.Clone(attempt.Tried)}
		}
		return GiveUp{AnswerUnknown{}}
	case Failed:
		// The target ran the request, so its error response goes to the caller.
		return GiveUp{AnswerFailed{}}
	}
	// An outcome of another type doesn't show whether the request ran.
	return GiveUp{AnswerUnknown{}}
}

// mayRetry takes from the budget last, so that a retry ruled out otherwise costs nothing.
func mayRetry(attempt Attempt, now time.Time, pause time.Duration, budget *Budget) bool {
	if attempt.Resent || len(attempt.Tried) >= maxAttempts {
		return false
	}
	if !now.Add(pause).Before(attempt.Deadline) {
		return false
	}
	return budget.take(now)
}

// retryDelay returns a random delay after Overload. After other reasons another target
// can take the request at once.
func retryDelay(reason Reason, random uint64) time.Duration {
	if reason != Overload {
		return 0
	}
	return time.Duration(random % uint64(maxOverloadDelay))
}
