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

// send sends the request to targets of its service until it has an end.
func (c *call) send(ctx context.Context, kind bfrecord.KeyKind) Result {
	var last Result
	for {
		now := c.entry.parts.Timer.Now()
		id := c.entry.parts.Minter.Next(now)
		if length, held := c.held(now); held {
			return worse(NotRun{ID: id, Reason: bfrecord.ReasonQuarantined, RetryAfter: length}, last)
		}
		chooser, target, member, found := c.pick(now)
		if !found {
			return worse(NotRun{ID: id, Reason: reasonNoTarget, RetryAfter: later(noTargetPause)}, last)
		}
		c.tried = append(c.tried, target.ID())
		attempt := bfrecord.NewAttempt(id, member.Home, kind)
		end := c.attempt(ctx, attempt, member, judged{chooser, target})
		if relayed, isRelayed := end.(relayed); isRelayed {
			c.earn()
			return relayed.answer
		}
		last = worse(last, result(end))
		action := bfretry.Decide(classify(end), c.history(), c.entry.parts.Timer.Now(), c.budget(), rand.Uint64())
		retry, again := action.(bfretry.Retry)
		if !again || !c.pause(ctx, retry.After()) {
			return last
		}
		c.resent = true
		c.entry.metrics.retries.Add(1)
	}
}

// held reports whether the fleet holds the request, and for how long.
func (c *call) held(now time.Time) (length time.Duration, held bool) {
	view := c.entry.parts.Quarantine.View()
	if !view.Holds() {
		return 0, false
	}
	asked := bfhop.QuarantineRequest(c.request.Method, c.request.target(), c.request.Tenant, c.request.Body)
	verdict, held := view.Refuse(bfquarantine.KeyOf(asked), now)
	return verdict.Until().Sub(now), held
}

// worse is what a caller is told after two sendings without an answer.
//
// Each speaks for itself alone: that the second was not run says nothing of the
// first, and a caller told "not run" of a request that ran would order twice.
func worse(first, second Result) Result {
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

func (c *call) earn() {
	if !c.resent {
		c.budget().Earn(c.policy().RetryPercent, c.request.Depth)
	}
}

// sendMinted sends a request to the one instance whose memory may run its key.
//
// Whether it still is that incarnation only the instance itself knows: one that
// refuted its death goes by a new one and remembers all the same.
func (c *call) sendMinted(ctx context.Context) Result {
	key, err := bfrecord.ParseMintedKey(c.request.Key)
	if err != nil {
		return Invalid{Status: http.StatusBadRequest, Title: "Unreadable key", Err: err}
	}
	member, found := c.entry.parts.Directory.Member(key.Home().Instance)
	if !found {
		// What that instance ran went with it.
		return Unknown{ID: key.ID()}
	}
	if service := c.match.Service().Name; member.Service != service {
		return Invalid{Status: http.StatusBadRequest, Title: "Key of another service", Err: &KeyServiceError{Service: service}}
	}
	attempt := bfrecord.NewAttempt(key.ID(), key.Home(), bfrecord.KeyMinted)
	end := c.attempt(ctx, attempt, member, judged{})
	if relayed, isRelayed := end.(relayed); isRelayed {
		return relayed.answer
	}
	return result(end)
}

// KeyServiceError reports a minted key whose home has no target of the route's service.
type KeyServiceError struct{ Service string }

// Error names the service.
func (e *KeyServiceError) Error() string {
	return "the key was minted for another service than " + e.Service
}

// classify is the end as the retry policy sees it.
func classify(end ended) bfretry.Outcome {
	settled, isSettled := end.(settled)
	if !isSettled {
		return bfretry.Failed{}
	}
	notRun, proven := settled.outcome.(bfrecord.NotRun)
	if !proven {
		return bfretry.Unknown{Final: settled.final}
	}
	return bfretry.NotRun{Reason: retryReason(notRun.Reason()), RetryAfter: notRun.RetryAfter(), Final: settled.final}
}

func retryReason(reason bfrecord.Reason) bfretry.Reason {
	switch reason {
	case bfrecord.ReasonOverload, bfrecord.ReasonBookFull, bfrecord.ReasonTableAway, bfhop.ReasonShed:
		return bfretry.Overload
	case bfrecord.ReasonLeaving:
		return bfretry.Leaving
	}
	return bfretry.Unreached
}

// result is what the caller is told of an end that brought no answer of the target's.
func result(end ended) Result {
	settled, isSettled := end.(settled)
	if !isSettled {
		return Unknown{}
	}
	switch outcome := settled.outcome.(type) {
	case bfrecord.NotRun:
		return notRunResult(settled.id, outcome)
	case bfrecord.InProgress:
		return InProgress{ID: outcome.ID(), RetryAfter: later(inProgressPause)}
	case bfrecord.Done:
		_, dropped := outcome.Answer().(bfrecord.DroppedAnswer)
		return Unknown{ID: settled.id, Ran: dropped}
	}
	return Unknown{ID: settled.id}
}

func notRunResult(id bfrecord.ID, outcome bfrecord.NotRun) Result {
	if outcome.Reason() == bfrecord.ReasonMismatch {
		return Invalid{Status: http.StatusUnprocessableEntity, Title: "Key used with other content", Err: &MismatchError{ID: id}}
	}
	return NotRun{
		ID: id, Reason: outcome.Reason(),
		RetryAfter: later(outcome.RetryAfter()), EarlierMayHaveRun: outcome.EarlierMayHaveRun(),
	}
}

const (
	// usualPause is when to come back where nobody named a time.
	usualPause = 250 * time.Millisecond
	// inProgressPause is when to ask again for a request that still runs.
	inProgressPause = time.Second
)

// later spreads the time to come back. Callers refused at one moment, as at an
// event's start, would else all come back at one moment, and be refused again.
func later(d time.Duration) time.Duration {
	if d <= 0 {
		d = usualPause
	}
	return d + rand.N(d/2+1)
}

// MismatchError reports a key that was first used with other content.
type MismatchError struct{ ID bfrecord.ID }

// Error names the request.
func (e *MismatchError) Error() string {
	return "the idempotency key of request " + e.ID.String() + " was used with other content; this content was not run"
}
