package bfentry

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfoutcome"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/lib/bfwalk"
)

// call is the state of one caller's request.
type call struct {
	handler *Handler
	// caller is the context of the caller's HTTP request, cancelled on a disconnect.
	caller  context.Context
	route   *bftraffic.Route
	service string
	// version is the configuration version that the route comes from.
	version  bftraffic.Version
	request  *bfexchange.Request
	arrived  time.Time
	deadline time.Time
	// callerDeadline is the end of the caller's own timeout, which covers all its attempts.
	callerDeadline time.Time
	// usedBefore is the time since the caller's first attempt, 0 if this is the first.
	usedBefore time.Duration
	// workspace is the workspace that holds the request's API key, or that of the run that made this
	// nested call; nil for none. keyed is set if it holds the request's own key.
	workspace *bftraffic.Workspace
	keyed     bool
	// parent is the run of the local target that made this nested call, nil if the
	// request is not nested.
	parent *bfbudget.Run
	// tried are the targets that the request was sent to; sent counts the sends that
	// reached a target.
	tried []*bffleet.Target
	sent  int
	// earlierResult is the result of an earlier send that has run or may have run, nil if there is none.
	earlierResult bfhost.Result
	// wasShed is set once a target has shed this nested call.
	wasShed bool
	// retryGranted is set while a retry has been taken from the budget and has not reached a
	// target; if it never does, it is returned to the budget.
	retryGranted bool
	// lastSendDuration is the duration of the latest send.
	lastSendDuration time.Duration
	// mayQueue is set if the request may queue at the next target when that is full.
	mayQueue bool
	// rollout is the newest roll-out of the service, nil if there is none; selected says to which
	// versions the next send may go, and triedNew is set once the new one was tried.
	rollout  *bfrollout.Rollout
	selected bfrollout.Selection
	triedNew bool
	// isLastTarget is set if no other target is tried when this one is full.
	isLastTarget bool
	// narrowLink is set once the request was sent to a node whose narrow link its answer uses.
	narrowLink bool
}

// run sends the request to one target after another until it has a result.
func (c *call) run(ctx context.Context) bfhost.Result {
	if c.parent != nil {
		c.parent.BeginCall(c.service)
	} else {
		c.handler.config.Account.Sent(c.service)
	}
	if c.handler.config.Hedging.Share > 0 {
		c.handler.hedgeBudget.Earn(c.service, c.handler.config.Hedging)
	}
	result := c.proven(c.callerResult(c.send(ctx)))
	if c.retryGranted {
		c.handler.config.Account.Return(c.service)
	}
	if c.parent != nil {
		c.parent.EndCall(c.wasShed)
		if !bfoutcome.Served(result) {
			c.parent.Fail()
		}
	}
	if shed, ok := result.(bfhost.Shed); ok {
		shed.RetryAfter = c.retryAfter()
		return shed
	}
	return result
}

// send sends the request until it has a result or no further send is allowed.
func (c *call) send(ctx context.Context) bfhost.Result {
	refusal := bfhost.Refused{Reason: bfhost.NoTarget, RetryAfter: startingRetryAfter}
	for {
		now := c.handler.config.Timer.Now()
		if refused, ok := c.quarantined(now); ok {
			return c.withRetryAfter(refused)
		}
		choice := c.pick(refusal, now)
		target := choice.Target()
		done := target == nil || c.searchTimedOut(now, refusal)
		if done {
			c.returnTrial()
		}
		if done && refusal.Reason.LacksCapacity() && !c.isLastTarget && c.retriesWhenAllFull() {
			c.isLastTarget, c.tried = true, nil
			continue
		}
		if done {
			return c.withRetryAfter(refusal)
		}
		c.tried = append(c.tried, target)
		_, trial := c.choseVersion()
		c.isLastTarget = c.isLastTarget || !trial && (c.route.Kind() == bftraffic.Download && choice.Full() || c.isLateForLink(target))
		c.mayQueue = c.isLastTarget || !trial && bfwalk.QueuesAtTarget(choice.Others(), c.localAcceptRate())
		result := c.sendTo(ctx, target)
		if refused, ok := result.(bfhost.Refused); ok {
			refusal = c.preferRefusal(refusal, refused)
			if c.isFinalRefusal(refused) || !c.request.Resendable() {
				return c.withRetryAfter(refusal)
			}
			c.isLastTarget = c.isLastTarget || c.asksOneMoreLink(refused)
		} else if !c.shouldResend(ctx, result) {
			return result
		}
		if ctx.Err() != nil || c.caller.Err() != nil {
			return c.withRetryAfter(refusal)
		}
	}
}

// isFinalRefusal reports whether no other target is tried after a refusal. Nodes share the
// retry budgets, so a retry that one of them refuses for lack of budget would be
// refused by the others too.
func (c *call) isFinalRefusal(refused bfhost.Refused) bool {
	if refused.Reason == bfhost.OverBudget {
		c.handler.metrics.countOverBudget()
		return true
	}
	if refused.Reason == bfhost.Quarantined || c.endsBeyondShare(refused) {
		return true
	}
	return c.isLastTarget && refused.Reason.LacksCapacity()
}

// shouldResend reports whether the request is sent again after a send that may have
// reached a target, and stores the result of that send.
func (c *call) shouldResend(ctx context.Context, result bfhost.Result) bool {
	switch result := result.(type) {
	case bfhost.Shed:
		c.countSend()
		c.reportShed(ctx)
		return c.mayRetry(ctx)
	case bfhost.Lost:
		c.countSend()
		if !c.route.Kind().Repeatable() || !c.mayRetry(ctx) {
			return false
		}
		c.keepResult(result)
		return true
	case bfhost.Answered:
		c.countSend()
		if !bfoutcome.Failed(result) || !c.route.Kind().Repeatable() || !c.mayRetry(ctx) {
			return false
		}
		c.keepResult(result)
		return true
	case bfhost.Expired:
		if result.Sent {
			c.countSend()
		}
	}
	return false
}

// siblingShedWait is how long a shed nested call waits for its siblings to be shed
// too: a target sheds at once, a few milliseconds away.
const siblingShedWait = 10 * time.Millisecond

// reportShed reports to the parent run that this nested call was shed.
func (c *call) reportShed(ctx context.Context) {
	if c.parent == nil || c.wasShed {
		return
	}
	c.wasShed = true
	if c.parent.ShedCall(c.service) {
		// A wait that is cut short needs no handling: mayRetry checks ctx next.
		_ = c.handler.config.Timer.Wait(ctx, siblingShedWait)
	}
}

// countSend counts a send that may have reached a target.
func (c *call) countSend() {
	c.sent++
	c.retryGranted = false
}

// keepResult stores the result of a send that has run or may have run. A target's
// answer replaces a result without an answer.
func (c *call) keepResult(result bfhost.Result) {
	earlier, ok := c.earlierResult.(bfhost.Answered)
	switch {
	case !ok:
		c.earlierResult = result
	case bfoutcome.IsAnswered(result):
		earlier.Answer.Close()
		c.earlierResult = result
	}
}

// callerResult is the result returned to the caller. A last send that did not run must
// not hide an earlier one that may have: the caller would treat a request that ran as
// one that never did.
func (c *call) callerResult(result bfhost.Result) bfhost.Result {
	earlier, hasAnswer := c.earlierResult.(bfhost.Answered)
	switch {
	case c.earlierResult == nil:
		return result
	case bfoutcome.IsAnswered(result):
		if hasAnswer {
			earlier.Answer.Close()
		}
		return result
	}
	return c.earlierResult
}

// demand describes what a target is chosen for, given the latest refusal.
func (c *call) demand(refusal bfhost.Refused) bffleet.Demand {
	demand := c.handler.Demand(c.route, c.service)
	demand.Left, demand.SameDomain = c.timeLeft(), c.staysInDomain(refusal)
	return demand
}

// Demand describes what a target of a service is chosen for by a request of the route that arrives now.
func (h *Handler) Demand(route *bftraffic.Route, service string) bffleet.Demand {
	name := route.Name()
	return bffleet.Demand{
		Service: service, Bytes: int(h.sizes.Get(name)), UsualTime: time.Duration(h.latencies.Get(name)),
		RunTime: time.Duration(h.runTimes.Get(name)), Left: route.Objective(), Objective: route.Objective(),
	}
}

// lastNode is the address of the node that the request was last sent to, "" before the first send.
func (c *call) lastNode() string {
	if len(c.tried) == 0 {
		return ""
	}
	return c.tried[len(c.tried)-1].Member().Inbound
}

// mayRetry reports whether a request that reached a target may be sent to another one,
// and takes the retry from the budget if so.
func (c *call) mayRetry(ctx context.Context) bool {
	now := c.handler.config.Timer.Now()
	switch {
	case ctx.Err() != nil, c.caller.Err() != nil, c.sent >= c.route.MaxAttempts(), !c.request.Resendable():
		return false
	case c.deadline.Sub(now) < c.route.Objective()/minTimeDivisor:
		return false
	}
	c.retryGranted = c.takeRetry()
	return c.retryGranted
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (c *call) takeRetry() (granted bool) {
	if c.parent != nil {
		granted = c.parent.Take(c.service)
	} else {
		granted = c.handler.config.Account.Take(c.service)
	}
	c.handler.metrics.countRetry(granted)
	return granted
}

// minTimeDivisor sets the time a retry needs: the objective divided by it.
const minTimeDivisor = 5

// sendTo sends the request to the target through its node, and perhaps a second copy to another one.
func (c *call) sendTo(ctx context.Context, target *bffleet.Target) bfhost.Result {
	c.narrowLink = c.narrowLink || c.longAnswer(target) != nil
	if delay, ok := c.hedgeDelay(target); ok {
		result, duration := c.sendHedged(ctx, target, delay)
		c.lastSendDuration = duration
		return result
	}
	began := c.handler.config.Timer.Now()
	result := c.attempt(ctx, target, c.policy())
	c.lastSendDuration = c.handler.config.Timer.Now().Sub(began)
	c.recordVersion(target, result)
	c.recordResult(target, result, c.lastSendDuration)
	return result
}

// attempt sends one copy of the request to the target. It doesn't change the call, so that two copies
// can be on their way, and reads only what doesn't change after the first send.
func (c *call) attempt(ctx context.Context, target *bffleet.Target, policy bfhost.Policy) bfhost.Result {
	target.Begin()
	defer target.End()
	if target.Member().Inbound == c.handler.config.Inbound {
		return c.sendLocal(ctx, target, policy)
	}
	return c.sendRemote(ctx, target, policy)
}

// recordResult records what the result of one copy shows of the target.
func (c *call) recordResult(target *bffleet.Target, result bfhost.Result, duration time.Duration) {
	c.recordOutcome(target, result, duration)
	c.recordAcceptance(target, result)
	if c.handler.config.Hedging.Share > 0 && bfoutcome.Served(result) {
		c.handler.hedgeLatencies.Observe(c.route.Name(), duration, target.RelativeRunTime())
	}
}

// recordAcceptance records whether the target accepted the request.
func (c *call) recordAcceptance(target *bffleet.Target, result bfhost.Result) {
	refused, isRefused := result.(bfhost.Refused)
	if isRefused && !refused.Reason.LacksCapacity() {
		// The refusal does not depend on the target's load.
		return
	}
	if refused.BeyondShare {
		c.handler.metrics.countBeyondShare()
	}
	c.handler.metrics.countAcceptance(c.handler.config.Fleet.IsInOtherDomain(target), isRefused)
	if !refused.BeyondShare {
		// Other workspaces are accepted where one is refused beyond its share.
		c.acceptRatesOf(target).Note(c.service, !isRefused)
	}
	if c.workspace != nil && c.parent == nil {
		c.handler.shareRates.Note(c.service, c.workspace.Name(), refused.BeyondShare)
	}
}

// acceptRatesOf returns the acceptance rates of the target's failure domain, local or remote.
func (c *call) acceptRatesOf(target *bffleet.Target) *bfwalk.AcceptRates {
	if c.handler.config.Fleet.IsInOtherDomain(target) {
		return &c.handler.remoteAcceptRates
	}
	return &c.handler.localAcceptRates
}

// recordOutcome updates the target's health with the result of a send.
func (c *call) recordOutcome(target *bffleet.Target, result bfhost.Result, duration time.Duration) {
	now := c.handler.config.Timer.Now()
	switch result := result.(type) {
	case bfhost.Refused:
		if suspendsTarget(result.Reason) {
			if length := target.Suspend(now); length > 0 {
				c.handler.reportSuspended(target, result, length)
			}
			if result.Err != nil {
				c.handler.prober.Start(target)
			}
			return
		}
	case bfhost.Lost:
		if c.caller.Err() != nil {
			// The entry itself has ended the request.
			return
		}
		if !result.UnderLoad {
			target.RecordResult(true, now)
		}
	case bfhost.Shed:
		target.RecordResult(true, now)
	case bfhost.Answered:
		target.RecordResult(bfoutcome.Failed(result), now)
		if !bfoutcome.Failed(result) {
			c.handler.latencies.Add(c.route.Name(), duration.Nanoseconds())
		}
	case bfhost.Expired:
		return
	}
	target.Resume()
}

// sendLocal runs the request at this node's own target.
func (c *call) sendLocal(ctx context.Context, target *bffleet.Target, policy bfhost.Policy) bfhost.Result {
	request := *c.request
	request.Header = c.request.Header.Clone()
	result := c.handler.config.Host.Run(ctx, bfhost.Job{Request: &request, Deadline: c.deadline, Policy: policy})
	used, slots := c.handler.config.Host.Capacity()
	target.ReportLoad(used, slots, c.handler.config.Timer.Now())
	c.updateHealth(target, c.handler.config.Host.Health(c.route.Name()))
	return result
}
