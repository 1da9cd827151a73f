package bfentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bftraffic"
)

// call is one caller's request on its way.
type call struct {
	handler *Handler
	// caller ends when the caller leaves.
	caller  context.Context
	route   *bftraffic.Route
	service string
	// version is that of the configuration by which the request is treated.
	version  bftraffic.Version
	request  *bfexchange.Request
	arrived  time.Time
	deadline time.Time
	// callerDeadline is until when the caller waits, over all its attempts.
	callerDeadline time.Time
	// used is the time that the caller has spent on earlier attempts.
	used time.Duration
	// parent is the request that the target beside this node makes this one for, nil where it makes none.
	parent *bfhost.Parent
	// tried are the targets that were asked, sent how often one was reached.
	tried []*bffleet.Target
	sent  int
	// ran is the end of an earlier sending that has run or may have, nil where there is none.
	ran bfhost.Result
	// lastTook is how long the newest sending took.
	lastTook time.Duration
	// last says that no other target is asked if this one is full, so that the
	// request may wait there.
	last bool
}

// run sends the request from target to target until it has an end.
func (c *call) run(ctx context.Context) bfhost.Result {
	budget := c.handler.budgets.of(c.service)
	budget.Earn(c.handler.parts.Terms)
	if c.parent != nil && c.parent.Repeat {
		// A request that runs again makes its calls again.
		budget.Charge()
	}
	end := c.truth(c.send(ctx))
	if shed, ok := end.(bfhost.Shed); ok {
		shed.RetryAfter = c.comeBack()
		return shed
	}
	return end
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

// send sends the request until nothing more may be done for it.
func (c *call) send(ctx context.Context) bfhost.Result {
	refusal := bfhost.Refused{Reason: bfhost.NoTarget, RetryAfter: startingPause}
	for {
		now := c.handler.parts.Timer.Now()
		choice := c.handler.parts.Fleet.Pick(c.demand(), now, c.tried)
		target := choice.Target()
		done := target == nil || c.askedLong(now, refusal)
		if done && refusal.Reason == bfhost.Full && !c.last && c.waits() {
			c.last, c.tried = true, nil
			continue
		}
		if done {
			return c.refused(refusal)
		}
		c.tried = append(c.tried, target)
		c.last = c.last || c.route.Kind() == bftraffic.Download && choice.Full()
		end := c.attempt(ctx, target)
		if refused, ok := end.(bfhost.Refused); ok {
			refusal = worst(refusal, refused)
			if c.last && refused.Reason == bfhost.Full {
				return c.refused(refusal)
			}
		} else if !c.goesOn(ctx, end) {
			return end
		}
		if ctx.Err() != nil || c.caller.Err() != nil {
			return c.refused(refusal)
		}
	}
}

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

// goesOn reports whether the request is sent once more after a sending that a
// target may have seen, and keeps what that sending showed.
func (c *call) goesOn(ctx context.Context, end bfhost.Result) bool {
	switch end := end.(type) {
	case bfhost.Shed:
		c.sent++
		return c.mayRepeat(ctx)
	case bfhost.Lost:
		c.sent++
		if !c.route.Kind().Repeatable() || !c.mayRepeat(ctx) {
			return false
		}
		c.keep(end)
		return true
	case bfhost.Answered:
		c.sent++
		if !failed(end) || !c.route.Kind().Repeatable() || !c.mayRepeat(ctx) {
			return false
		}
		c.keep(end)
		return true
	}
	return false
}

// keep holds on to the end of a sending that has run or may have; a target's own
// answer says more than none.
func (c *call) keep(end bfhost.Result) {
	held, ok := c.ran.(bfhost.Answered)
	switch {
	case !ok:
		c.ran = end
	case isAnswer(end):
		held.Answer.Close()
		c.ran = end
	}
}

func isAnswer(end bfhost.Result) bool {
	_, ok := end.(bfhost.Answered)
	return ok
}

// truth is what the caller is told. A sending that did not run says nothing of an
// earlier one that may have: a caller told "not run" by the last one alone would
// take a request that ran for one that never did.
func (c *call) truth(end bfhost.Result) bfhost.Result {
	held, holds := c.ran.(bfhost.Answered)
	switch {
	case c.ran == nil:
		return end
	case isAnswer(end):
		if holds {
			held.Answer.Close()
		}
		return end
	}
	return c.ran
}

func (c *call) demand() bffleet.Demand {
	name := c.route.Name()
	usual := time.Duration(c.handler.times.of(name))
	return bffleet.Demand{
		Usual:   usual,
		Service: c.service, Bytes: int(c.handler.bytes.of(name)),
		Haste:     float64(usual) / float64(max(c.route.Objective(), 1)),
		Objective: c.route.Objective(),
	}
}

// waits reports whether the request may wait for a slot. Where all targets are
// full the others are refused at once: those that waited would be late, and the
// slots that they then take others would have had in time. A download waits at
// the node's own failure domain, since its bytes cost much on the way to another.
func (c *call) waits() bool {
	return c.route.Urgent() || c.route.Kind() == bftraffic.Download
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

func failed(end bfhost.Answered) bool { return end.Answer.Status >= http.StatusInternalServerError }

// lastNode is the node that was asked last, "" before the first.
func (c *call) lastNode() string {
	if len(c.tried) == 0 {
		return ""
	}
	return c.tried[len(c.tried)-1].Member().Inbound
}

// mayRepeat decides whether a request that reached a target is sent to another.
func (c *call) mayRepeat(ctx context.Context) bool {
	now := c.handler.parts.Timer.Now()
	switch {
	case ctx.Err() != nil, c.caller.Err() != nil, c.sent >= c.route.MaxAttempts(), c.request.Rest != nil:
		return false
	case c.deadline.Sub(now) < c.route.Objective()/leastTime:
		return false
	}
	return c.handler.budgets.of(c.service).Take(c.handler.parts.Terms, c.handler.parts.Fleet.Size(), now)
}

// leastTime is the part of the objective that must be left for a repeat to make sense.
const leastTime = 5

// attempt asks one node to have the request run.
func (c *call) attempt(ctx context.Context, target *bffleet.Target) bfhost.Result {
	target.Begin()
	defer target.End()
	began := c.handler.parts.Timer.Now()
	var end bfhost.Result
	if target.Member().Inbound == c.handler.parts.Inbound {
		end = c.here(ctx, target)
	} else {
		end = c.there(ctx, target)
	}
	c.lastTook = c.handler.parts.Timer.Now().Sub(began)
	c.judge(target, end, c.lastTook)
	return end
}

func (c *call) judge(target *bffleet.Target, end bfhost.Result, took time.Duration) {
	now := c.handler.parts.Timer.Now()
	switch end := end.(type) {
	case bfhost.Refused:
		if end.Reason != bfhost.Full {
			if length := target.SetAside(now); length > 0 {
				c.handler.reportAside(target, end, length)
			}
			if end.Err != nil {
				c.handler.lookFor(target)
			}
			return
		}
	case bfhost.Shed, bfhost.Lost:
		target.Judge(true, now)
	case bfhost.Answered:
		target.Judge(failed(end), now)
		if !failed(end) {
			c.handler.times.learn(c.route.Name(), took.Nanoseconds())
		}
	case bfhost.Expired:
		return
	}
	target.Present()
}

// repeat reports whether this sending would not be there without an earlier one.
func (c *call) repeat() bool { return c.sent > 0 || c.parent != nil && c.parent.Repeat }

func (c *call) policy() bfhost.Policy {
	return bfhost.Policy{
		Class: c.route.Name(), Service: c.service, Rank: c.route.Rank(), Nested: c.parent != nil, Repeat: c.repeat(),
		Repeatable: c.route.Kind().Repeatable(), Late: c.late(), Patience: c.patience(),
		LinkPatience: c.linkPatience(),
	}
}

const (
	// linkShare is the part of its objective for which a long answer may wait for the
	// link of its target's node while there are others to ask.
	linkShare = 0.4
	// lastLinkShare is the part of the time left for which it may wait at the last one.
	// A download that is run and then waits for longer is cut by its deadline, and the
	// link has carried a part of it for nothing.
	lastLinkShare = 0.7
)

func (c *call) linkPatience() time.Duration {
	if c.route.Kind() != bftraffic.Download {
		return 0
	}
	if c.last {
		left := c.deadline.Sub(c.handler.parts.Timer.Now())
		return max(time.Duration(lastLinkShare*float64(left)), time.Millisecond)
	}
	return time.Duration(linkShare * float64(c.route.Objective()))
}

// freshShare is the part of its objective up to which a request counts as fresh,
// however long its route takes: where targets are so slow that none is in time,
// none has to make room for another.
const freshShare = 0.3

// late reports whether the request is expected to miss its objective by the time
// that has passed. A nested call is not: what counts is the request it is nested in.
func (c *call) late() bool {
	elapsed := c.handler.parts.Timer.Now().Sub(c.arrived) + c.used
	usual := time.Duration(c.handler.times.of(c.route.Name()))
	objective := c.route.Objective()
	return c.parent == nil && float64(elapsed) > freshShare*float64(objective) && elapsed+usual > objective
}

const (
	// nestedPatience is the part of its objective for which a nested call waits
	// for a slot: its parent holds one elsewhere all the while.
	nestedPatience = 0.5
	// lastPatience is that of other requests at the last target that is asked.
	lastPatience = 0.15
)

func (c *call) patience() time.Duration {
	share := 0.0
	switch {
	case c.parent != nil:
		share = nestedPatience
	case c.last && c.waits():
		share = lastPatience
	}
	return time.Duration(share * float64(c.route.Objective()))
}

// here runs the request at the target beside this node.
func (c *call) here(ctx context.Context, target *bffleet.Target) bfhost.Result {
	request := *c.request
	request.Header = c.request.Header.Clone()
	end := c.handler.parts.Host.Run(ctx, bfhost.Job{Request: &request, Deadline: c.deadline, Policy: c.policy()})
	used, slots := c.handler.parts.Host.Load()
	target.Told(used, slots, c.handler.parts.Timer.Now())
	c.follow(target, c.handler.parts.Host.Track(c.route.Name()))
	return end
}

// follow takes how a target fares, by its node's word.
func (c *call) follow(target *bffleet.Target, track bfhost.Track) {
	slowness := 0.0
	if track.Running > 0 {
		if usual := c.handler.running.of(c.route.Name()); usual > 0 {
			slowness = float64(track.Running) / float64(usual)
		}
		c.handler.running.learn(c.route.Name(), track.Running.Nanoseconds())
	}
	target.ToldTrack(track.Failing, slowness, c.handler.parts.Timer.Now())
}
