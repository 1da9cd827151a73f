package bfcaller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfretry"
)

// send tries targets of the service until the request has a result.
func (c *call) send(ctx context.Context, kind bfrecord.KeyKind) Result {
	var last Result
	for {
		now := c.entry.config.Timer.Now()
		id := c.entry.config.Minter.Next(now)
		if remaining, isQuarantined := c.quarantined(now); isQuarantined {
			return lessCertain(NotRun{ID: id, Reason: bfrecord.ReasonQuarantined, RetryAfter: remaining}, last)
		}
		chooser, target, member, found := c.pick(now)
		if !found {
			return lessCertain(NotRun{ID: id, Reason: reasonNoTarget, RetryAfter: addJitter(noTargetRetryAfter)}, last)
		}
		c.tried = append(c.tried, target.ID())
		attempt := bfrecord.NewAttempt(id, member.Home, kind)
		result := c.attempt(ctx, attempt, member, chosenTarget{chooser, target})
		if relayed, isRelayed := result.(relayed); isRelayed {
			c.earnRetry()
			return relayed.answer
		}
		last = lessCertain(last, toResult(result))
		action := bfretry.Decide(classify(result), c.history(), c.entry.config.Timer.Now(), c.budget(), rand.Uint64())
		retry, shouldRetry := action.(bfretry.Retry)
		if !shouldRetry || !c.pause(ctx, retry.After()) {
			return last
		}
		c.resent = true
		c.entry.metrics.retries.Add(1)
	}
}

// quarantined reports whether the request is quarantined across the mesh, and for how long.
func (c *call) quarantined(now time.Time) (remaining time.Duration, isQuarantined bool) {
	view := c.entry.config.Quarantine.View()
	if !view.HasHeld() {
		return 0, false
	}
	request := bfhop.QuarantineRequest(c.request.Method, c.request.target(), c.request.Tenant, c.request.Body)
	verdict, isQuarantined := view.Refuse(bfquarantine.KeyOf(request), now)
	return verdict.Until().Sub(now), isQuarantined
}

// lessCertain merges the results of two attempts without a response; either may be nil.
// An Unknown takes precedence over any other result.
//
// Each result covers its own attempt only: that the second did not run proves
// nothing about the first, and a caller that receives "not run" for a request
// that ran would submit it again.
func lessCertain(first, second Result) Result {
	if _, unknown := first.(Unknown); unknown || second == nil {
		return first
	}
	return second
}

func (c *call) history() bfretry.Attempt {
	return bfretry.Attempt{
		Idempotent: c.policy().Idempotent, Deadline: c.deadline, Tried: c.tried, Resent: c.request.Resent,
	}
}

func (c *call) budget() *bfretry.Budget { return c.entry.budgets.Of(c.policy().Class) }

func (c *call) earnRetry() {
	if !c.resent {
		c.budget().Earn(c.policy().RetryPercent, c.request.Depth)
	}
}

// sendMinted sends the request to the one instance that accepts its minted key.
//
// Only the instance can check the incarnation: after refuting a false failure
// detection it has a new incarnation but keeps its records.
func (c *call) sendMinted(ctx context.Context) Result {
	key, err := bfrecord.ParseMintedKey(c.request.Key)
	if err != nil {
		return Invalid{Status: http.StatusBadRequest, Title: "Unreadable key", Err: err}
	}
	member, found := c.entry.config.Directory.Member(key.Home().Instance)
	if !found {
		// The instance has left the membership, and its records no longer exist.
		return Unknown{ID: key.ID()}
	}
	if service := c.match.Service().Name; member.Service != service {
		return Invalid{Status: http.StatusBadRequest, Title: "Key of another service", Err: &KeyServiceError{Service: service}}
	}
	attempt := bfrecord.NewAttempt(key.ID(), key.Home(), bfrecord.KeyMinted)
	result := c.attempt(ctx, attempt, member, chosenTarget{})
	if relayed, isRelayed := result.(relayed); isRelayed {
		return relayed.answer
	}
	return toResult(result)
}

// KeyServiceError reports a minted key whose instance has no target of the route's service.
type KeyServiceError struct{ Service string }

// Error names the service.
func (e *KeyServiceError) Error() string {
	return "the key was minted for another service than " + e.Service
}

// classify maps the result to the retry policy's outcomes.
func classify(result attemptResult) bfretry.Outcome {
	unanswered, isUnanswered := result.(noAnswer)
	if !isUnanswered {
		return bfretry.Failed{}
	}
	notRun, isNotRun := unanswered.outcome.(bfrecord.NotRun)
	if !isNotRun {
		return bfretry.Unknown{Final: unanswered.final}
	}
	return bfretry.NotRun{Reason: retryReason(notRun.Reason()), RetryAfter: notRun.RetryAfter(), Final: unanswered.final}
}

func retryReason(reason bfrecord.Reason) bfretry.Reason {
	switch reason {
	case bfrecord.ReasonOverload, bfrecord.ReasonTrackerFull, bfrecord.ReasonTableUnavailable, bfhop.ReasonShed:
		return bfretry.Overload
	case bfrecord.ReasonLeaving:
		return bfretry.Leaving
	}
	return bfretry.Unreached
}

// toResult converts a result without a response to what the caller receives.
func toResult(result attemptResult) Result {
	unanswered, isUnanswered := result.(noAnswer)
	if !isUnanswered {
		return Unknown{}
	}
	switch outcome := unanswered.outcome.(type) {
	case bfrecord.NotRun:
		return notRunResult(unanswered.id, outcome)
	case bfrecord.InProgress:
		return InProgress{ID: outcome.ID(), RetryAfter: addJitter(inProgressRetryAfter)}
	case bfrecord.Done:
		_, dropped := outcome.Answer().(bfrecord.DroppedAnswer)
		return Unknown{ID: unanswered.id, Ran: dropped}
	}
	return Unknown{ID: unanswered.id}
}

func notRunResult(id bfrecord.ID, outcome bfrecord.NotRun) Result {
	if outcome.Reason() == bfrecord.ReasonMismatch {
		return Invalid{Status: http.StatusUnprocessableEntity, Title: "Key used with other content", Err: &MismatchError{ID: id}}
	}
	return NotRun{
		ID: id, Reason: outcome.Reason(),
		RetryAfter: addJitter(outcome.RetryAfter()), EarlierMayHaveRun: outcome.EarlierMayHaveRun(),
	}
}

const (
	// defaultRetryAfter is the retry delay where none is given.
	defaultRetryAfter = 250 * time.Millisecond
	// inProgressRetryAfter is the retry delay for a request that still runs.
	inProgressRetryAfter = time.Second
)

// addJitter adds up to half of d, so that callers refused at the same moment, for
// example at the start of an event, do not all retry at the same moment.
func addJitter(d time.Duration) time.Duration {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return d + rand.N(d/2+1)
}

// MismatchError reports an idempotency key that was first used with other content.
type MismatchError struct{ ID bfrecord.ID }

// Error names the request.
func (e *MismatchError) Error() string {
	return "the idempotency key of request " + e.ID.String() + " was used with other content; this content was not run"
}
