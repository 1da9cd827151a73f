package bfentry

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfoutcome"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfroutestat"
	"bilberryflow.org/lib/bfwalk"
)

// searchTimedOut reports whether the request has spent its time limit on full targets.
// A nested call has no such limit: its parent holds a slot meanwhile.
func (c *call) searchTimedOut(now time.Time, refusal bfhost.Refused) bool {
	if c.parent != nil || c.isLastTarget || !refusal.Reason.LacksCapacity() {
		return false
	}
	return now.Sub(c.arrived) > bfwalk.MaxSearch(c.route.Objective(), c.localAcceptRate())
}

// localAcceptRate is the rate at which targets of this node's failure domain accept requests of the
// service and the workspace.
func (c *call) localAcceptRate() float64 {
	rate := c.handler.localAcceptRates.Of(c.service)
	if c.workspace == nil || c.parent != nil {
		return rate
	}
	return min(rate, c.handler.shareRates.Of(c.service, c.workspace.Name()))
}

// endsBeyondShare reports whether the request is refused here because one target has refused it
// beyond its workspace's share, and the others would most likely do the same.
func (c *call) endsBeyondShare(refusal bfhost.Refused) bool {
	if !refusal.BeyondShare || c.workspace == nil || c.parent != nil {
		return false
	}
	return !bfwalk.TriesBeyondShare(c.handler.shareRates.Of(c.service, c.workspace.Name()), rand.Float64())
}

// staysInDomain reports whether a refused request is sent only to targets of its own
// failure domain. Untried targets there are preferred, even if a target of another domain
// has a lower cost, since they cost no traffic between domains.
func (c *call) staysInDomain(refusal bfhost.Refused) bool {
	if c.parent != nil || !refusal.Reason.LacksCapacity() {
		return false
	}
	return !bfwalk.TriesOtherDomain(c.handler.remoteAcceptRates.Of(c.service), rand.Float64())
}

// preferFull returns the refusal that is reported to the caller: a refusal by a full or limited
// target takes precedence, since it shows that a target exists.
func preferFull(a, b bfhost.Refused) bfhost.Refused {
	if a.Reason.LacksCapacity() {
		return a
	}
	return b
}

// withRetryAfter completes the refusal of a request that has no target left.
func (c *call) withRetryAfter(refusal bfhost.Refused) bfhost.Result {
	refusal.RetryAfter = max(c.retryAfter(), refusal.RetryAfter)
	return refusal
}

// retryAfter is the retry delay advertised to a refused caller.
func (c *call) retryAfter() time.Duration {
	refused := bfwalk.Refused{
		Objective: c.route.Objective(), Used: c.usedBefore, Left: c.callerDeadline.Sub(c.handler.config.Timer.Now()),
	}
	return refused.RetryAfter(c.localAcceptRate(), rand.Float64())
}

// proven replaces a target's refusal that is no promise, and reports it.
func (c *call) proven(result bfhost.Result) bfhost.Result {
	proven, status := bfoutcome.Proven(result, c.route.Kind().Repeatable())
	if status != 0 {
		c.handler.metrics.countUnproven()
		c.handler.report(bflog.RefusalUnproven, c, slog.Int("status", status))
	}
	return proven
}

// recordUnserved records a request that was not served, so that its retry is recognized.
func (c *call) recordUnserved(result bfhost.Result) {
	if c.parent != nil {
		return
	}
	now := c.handler.config.Timer.Now()
	retryAt := now
	switch result := result.(type) {
	case bfhost.Answered:
		if !bfoutcome.Failed(result) {
			return
		}
	case bfhost.Refused:
		retryAt = now.Add(result.RetryAfter)
	case bfhost.Shed:
		retryAt = now.Add(result.RetryAfter)
	case bfhost.Lost, bfhost.Expired:
	}
	c.handler.attempts.Record(c.route.Name(), bfroutestat.Attempt{FirstArrival: c.arrived.Add(-c.usedBefore), RetryAt: retryAt, Deadline: c.callerDeadline}, now)
}

// suspendsTarget reports whether a refusal suspends the target, because its reason applies to
// all requests and not only to this one or to the current load.
func suspendsTarget(reason bfhost.Reason) bool {
	switch reason {
	case bfhost.Full, bfhost.Limited, bfhost.OverBudget, bfhost.Quarantined:
		return false
	}
	return true
}

// key identifies the request's content over all its attempts.
func (c *call) key() bfquarantine.Key {
	return bfquarantine.KeyOf(bfhost.NewQuarantineRequest(c.request, c.handler.config.Names.CallerService))
}

// quarantined returns the refusal of a request that is quarantined for crashing targets;
// such a request is sent to no target.
func (c *call) quarantined(now time.Time) (refusal bfhost.Refused, ok bool) {
	view := c.handler.config.Quarantine.View()
	if !view.HasHeld() {
		return bfhost.Refused{}, false
	}
	entry, ok := view.Refuse(c.key(), now)
	if !ok {
		return bfhost.Refused{}, false
	}
	return bfhost.Refused{Reason: bfhost.Quarantined, RetryAfter: entry.Until().Sub(now)}, true
}
