package bfentry

import (
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfwalk"
)

// askedLong reports whether the request has gone from one full target to the next
// for as long as it may. A nested call goes on: its parent holds a slot meanwhile.
func (c *call) askedLong(now time.Time, refusal bfhost.Refused) bool {
	if c.parent != nil || c.last || refusal.Reason != bfhost.Full {
		return false
	}
	return now.Sub(c.arrived) > bfwalk.Longest(c.route.Objective(), c.handler.near.Of(c.service))
}

// staysNear reports whether a request that was refused goes on within its failure domain
// only. The targets there that it has not asked yet cost no bytes between domains, so they
// are asked although one of another domain would be the better choice.
func (c *call) staysNear(refusal bfhost.Refused) bool {
	if c.parent != nil || refusal.Reason != bfhost.Full {
		return false
	}
	return !bfwalk.GoesFar(c.handler.far.Of(c.service), rand.Float64())
}

// worst is the refusal that says most: a full target was there at least.
func worst(a, b bfhost.Refused) bfhost.Refused {
	if a.Reason == bfhost.Full {
		return a
	}
	return b
}

// refused is the end of a request that no target is left for.
func (c *call) refused(refusal bfhost.Refused) bfhost.Result {
	refusal.RetryAfter = max(c.comeBack(), refusal.RetryAfter)
	return refusal
}

// comeBack is when a refused caller is told to come back.
func (c *call) comeBack() time.Duration {
	refused := bfwalk.Refused{
		Objective: c.route.Objective(), Used: c.used, Left: c.callerDeadline.Sub(c.handler.parts.Timer.Now()),
	}
	return refused.ComeBack(c.handler.near.Of(c.service), rand.Float64())
}

// remember notes a request that was not served, for when its caller comes back.
func (c *call) remember(end bfhost.Result) {
	if c.parent != nil {
		return
	}
	now := c.handler.parts.Timer.Now()
	due := now
	switch end := end.(type) {
	case bfhost.Answered:
		if !failed(end) {
			return
		}
	case bfhost.Refused:
		due = now.Add(end.RetryAfter)
	case bfhost.Shed:
		due = now.Add(end.RetryAfter)
	case bfhost.Lost, bfhost.Expired:
	}
	c.handler.attempts.note(c.route.Name(), attempt{began: c.arrived.Add(-c.used), due: due, deadline: c.callerDeadline}, now)
}

// speaksOfTarget reports whether a refusal says that the target takes nothing, and not
// merely that it does not take this request now.
func speaksOfTarget(reason bfhost.Reason) bool {
	switch reason {
	case bfhost.Full, bfhost.OverBudget, bfhost.Quarantined:
		return false
	}
	return true
}

// key is what the request is known by over all its attempts.
func (c *call) key() bfquarantine.Key {
	return bfquarantine.KeyOf(bfhost.QuarantineRequest(c.request, c.handler.parts.Names.CallerService))
}

// held is the refusal of a request under which targets end: no target is asked.
func (c *call) held(now time.Time) (refusal bfhost.Refused, is bool) {
	view := c.handler.parts.Quarantine.View()
	if !view.Holds() {
		return bfhost.Refused{}, false
	}
	held, is := view.Refuse(c.key(), now)
	if !is {
		return bfhost.Refused{}, false
	}
	return bfhost.Refused{Reason: bfhost.Quarantined, RetryAfter: held.Until().Sub(now)}, true
}
