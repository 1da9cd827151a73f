package bfentry

import (
	"context"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/lib/bfwalk"
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
	// parent is the run that the target beside this node makes this request for, nil where it makes none.
	parent *bfbudget.Run
	// tried are the targets that were asked, sent how often one was reached.
	tried []*bffleet.Target
	sent  int
	// ran is the end of an earlier sending that has run or may have, nil where there is none.
	ran bfhost.Result
	// shed says that a target shed this nested call.
	shed bool
	// granted says that a repeat was granted which has not reached a target yet.
	granted bool
	// lastTook is how long the newest sending took.
	lastTook time.Duration
	// waits says that the request waits at the target that is asked next, if that is full.
	waits bool
	// last says that no other target is asked if this one is full.
	last bool
}

// run sends the request from target to target until it has an end.
func (c *call) run(ctx context.Context) bfhost.Result {
	if c.parent != nil {
		c.parent.Call(c.service)
	} else {
		c.handler.parts.Account.Sent(c.service)
	}
	end := c.truth(c.send(ctx))
	if c.granted {
		c.handler.parts.Account.Return(c.service)
	}
	if c.parent != nil {
		c.parent.EndCall(c.shed)
		if !served(end) {
			c.parent.Fail()
		}
	}
	if shed, ok := end.(bfhost.Shed); ok {
		shed.RetryAfter = c.comeBack()
		return shed
	}
	return end
}

// send sends the request until nothing more may be done for it.
func (c *call) send(ctx context.Context) bfhost.Result {
	refusal := bfhost.Refused{Reason: bfhost.NoTarget, RetryAfter: startingPause}
	for {
		now := c.handler.parts.Timer.Now()
		if held, is := c.held(now); is {
			return c.refused(held)
		}
		choice := c.handler.parts.Fleet.Pick(c.demand(refusal), now, c.tried)
		target := choice.Target()
		done := target == nil || c.askedLong(now, refusal)
		if done && refusal.Reason == bfhost.Full && !c.last && c.asksAgain() {
			c.last, c.tried = true, nil
			continue
		}
		if done {
			return c.refused(refusal)
		}
		c.tried = append(c.tried, target)
		c.last = c.last || c.route.Kind() == bftraffic.Download && choice.Full()
		c.waits = c.last || bfwalk.Waits(choice.Others(), c.handler.near.Of(c.service))
		end := c.attempt(ctx, target)
		if refused, ok := end.(bfhost.Refused); ok {
			refusal = worst(refusal, refused)
			if c.isFinal(refused) {
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

// isFinal reports whether no other target is asked after a refusal. The nodes share the
// budgets by which one of them refuses a repeat: the others hold as little.
func (c *call) isFinal(refused bfhost.Refused) bool {
	if refused.Reason == bfhost.OverBudget {
		c.handler.metrics.unborne()
		return true
	}
	if refused.Reason == bfhost.Quarantined {
		return true
	}
	return c.last && refused.Reason == bfhost.Full
}

// goesOn reports whether the request is sent once more after a sending that a
// target may have seen, and keeps what that sending showed.
func (c *call) goesOn(ctx context.Context, end bfhost.Result) bool {
	switch end := end.(type) {
	case bfhost.Shed:
		c.reached()
		c.noteShed(ctx)
		return c.mayRepeat(ctx)
	case bfhost.Lost:
		c.reached()
		if !c.route.Kind().Repeatable() || !c.mayRepeat(ctx) {
			return false
		}
		c.keep(end)
		return true
	case bfhost.Answered:
		c.reached()
		if !failed(end) || !c.route.Kind().Repeatable() || !c.mayRepeat(ctx) {
			return false
		}
		c.keep(end)
		return true
	case bfhost.Expired:
		if end.Sent {
			c.reached()
		}
	}
	return false
}

// siblingPause is how long a nested call that was shed waits to hear of those that its
// target made with it: a target sheds at once, a few milliseconds away.
const siblingPause = 10 * time.Millisecond

// noteShed has the run that this call is nested in know that it was shed.
func (c *call) noteShed(ctx context.Context) {
	if c.parent == nil || c.shed {
		return
	}
	c.shed = true
	if c.parent.Shed(c.service) {
		// Cut short, the call ends by its own context.
		_ = c.handler.parts.Timer.Wait(ctx, siblingPause)
	}
}

// reached counts a sending that a target may have seen.
func (c *call) reached() {
	c.sent++
	c.granted = false
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

// demand is what a target is chosen for, after a refusal.
func (c *call) demand(refusal bfhost.Refused) bffleet.Demand {
	name := c.route.Name()
	return bffleet.Demand{
		Service: c.service, Bytes: int(c.handler.bytes.of(name)), Usual: c.usual(),
		Running: time.Duration(c.handler.running.of(name)), Left: c.left(), Objective: c.route.Objective(),
		Near: c.staysNear(refusal),
	}
}

// served reports whether the end is a target's success.
func served(end bfhost.Result) bool {
	answered, ok := end.(bfhost.Answered)
	return ok && !failed(answered)
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
	if c.parent != nil {
		c.granted = c.parent.Take(c.service)
	} else {
		c.granted = c.handler.parts.Account.Take(c.service)
	}
	c.handler.metrics.repeated(c.granted)
	return c.granted
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
	c.noteOdds(target, end)
	return end
}

// noteOdds counts whether a target that was asked took the request.
func (c *call) noteOdds(target *bffleet.Target, end bfhost.Result) {
	refused, is := end.(bfhost.Refused)
	if is && refused.Reason != bfhost.Full {
		// It says nothing of the target's room.
		return
	}
	c.handler.metrics.asked(c.handler.parts.Fleet.IsFar(target), is)
	c.oddsOf(target).Note(c.service, !is)
}

// oddsOf are the odds that are kept for a target's place.
func (c *call) oddsOf(target *bffleet.Target) *bfwalk.Odds {
	if c.handler.parts.Fleet.IsFar(target) {
		return &c.handler.far
	}
	return &c.handler.near
}

func (c *call) judge(target *bffleet.Target, end bfhost.Result, took time.Duration) {
	now := c.handler.parts.Timer.Now()
	switch end := end.(type) {
	case bfhost.Refused:
		if speaksOfTarget(end.Reason) {
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

// here runs the request at the target beside this node.
func (c *call) here(ctx context.Context, target *bffleet.Target) bfhost.Result {
	request := *c.request
	request.Header = c.request.Header.Clone()
	end := c.handler.parts.Host.Run(ctx, bfhost.Job{Request: &request, Deadline: c.deadline, Policy: c.policy()})
	used, slots := c.handler.parts.Host.Load()
	target.Told(used, slots, c.handler.parts.Timer.Now())
	c.follow(target, c.handler.parts.Host.Health(c.route.Name()))
	return end
}

// follow takes how a target fares, by its node's word.
func (c *call) follow(target *bffleet.Target, track bfhost.Health) {
	slowness := 0.0
	if track.Running > 0 {
		if usual := c.handler.running.of(c.route.Name()); usual > 0 {
			slowness = float64(track.Running) / float64(usual)
		}
		c.handler.running.learn(c.route.Name(), track.Running.Nanoseconds())
	}
	target.ToldTrack(track.Failing, slowness, c.handler.parts.Timer.Now())
}
