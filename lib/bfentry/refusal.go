package bfentry

import (
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bfhost"
)

// askShare is the part of its objective for which a request goes from one full
// target to the next. One that walked on through dozens of them got its slot after
// 1.5 s of an objective of 0.8 s: it held a slot that a fresh request would have
// had in time, and many such kept a fleet of 54 targets late after its restart.
const askShare = 0.1

// askedLong reports whether the request has gone from one full target to the next
// for as long as it may. A nested call goes on: its parent holds a slot meanwhile.
func (c *call) askedLong(now time.Time, refusal bfhost.Refused) bool {
	return c.parent == nil && !c.last && refusal.Reason == bfhost.Full &&
		float64(now.Sub(c.arrived)) > askShare*float64(c.route.Objective())
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

const (
	// comeBackShare and comeBackSpread place the time to come back within the
	// objective: early enough that the request can still be served in it, and
	// spread so that those refused together do not come back together.
	comeBackShare  = 0.15
	comeBackSpread = 0.25
	// returnedShare is the part of its objective after which a request counts as
	// one that has come back; less is the way from the caller.
	returnedShare = 0.1
	// lateShare and lateSpread place it within the time that is left, for a request
	// that has come back already. Where it would be refused a third time at once, it
	// is served late once the burst has passed; callers wait for a third of what they
	// have left at most.
	lateShare  = 0.2
	lateSpread = 0.13
)

// comeBack is when a refused caller is told to come back.
func (c *call) comeBack() time.Duration {
	objective := c.route.Objective()
	if float64(c.used) < returnedShare*float64(objective) {
		return time.Duration(float64(objective) * (comeBackShare + comeBackSpread*rand.Float64()))
	}
	left := c.callerDeadline.Sub(c.handler.parts.Timer.Now())
	return time.Duration(float64(left) * (lateShare + lateSpread*rand.Float64()))
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
