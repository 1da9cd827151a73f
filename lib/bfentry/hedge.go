package bfentry

import (
	"context"
	"time"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfhedge"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfoutcome"
	"bilberryflow.org/lib/bfrace"
)

// hedgeDelay returns after which time a second copy of the request is considered if it is sent to the
// target now; ok is false if none may be sent.
func (c *call) hedgeDelay(target *bffleet.Target) (delay time.Duration, ok bool) {
	config := c.handler.config
	if config.Hedging.Share <= 0 || c.request.Rest != nil || c.rollout != nil || c.sent > 0 {
		return 0, false
	}
	delay, ok = c.handler.hedgeLatencies.Delay(c.route.Name(), target.RelativeRunTime())
	return delay, ok && c.mayHedge(c.deadline.Sub(config.Timer.Now())-delay)
}

// mayHedge reports whether a second copy may be sent when the given time is left to the deadline.
func (c *call) mayHedge(left time.Duration) bool {
	view := c.handler.config.Quarantine.View()
	return bfhedge.Request{
		Repeatable: c.route.Kind().Repeatable(), Suspected: view.HasSuspects() && view.IsSuspect(c.key(), c.handler.config.Timer.Now()),
		Sent: c.sent + 1, MaxAttempts: c.route.MaxAttempts(), Left: left, Usual: c.usualDuration(), AcceptRate: c.localAcceptRate(),
	}.Allows()
}

// sendHedged sends the request to a target, and a second copy to another one if it is unanswered after
// a delay. It returns the better result and the time since the first send.
func (c *call) sendHedged(ctx context.Context, first *bffleet.Target, delay time.Duration) (bfhost.Result, time.Duration) {
	now := c.handler.config.Timer.Now
	began := now()
	var second *bffleet.Target
	policy := c.policy()
	copied := policy
	copied.Repeat, copied.MaxSlotWait = true, 0
	outcome := bfrace.Race[bfhost.Result]{
		Delay: delay, Succeeded: bfoutcome.Served, Outranks: bfoutcome.HidesRun, Discard: bfoutcome.CloseAnswer, Timer: c.handler.config.Timer, Spawn: c.handler.config.Spawn,
		First: func(ctx context.Context) bfhost.Result { return c.attempt(ctx, first, policy) },
		Begin: func() func(ctx context.Context) bfhost.Result {
			if second = c.chooseSecond(); second == nil {
				return nil
			}
			return func(ctx context.Context) bfhost.Result { return c.sendSecond(ctx, second, copied) }
		},
	}.Run(ctx)
	elapsed := now().Sub(began)
	if outcome.FirstCancelled {
		// It would have taken longer than that.
		c.handler.hedgeLatencies.Observe(c.route.Name(), elapsed, first.RelativeRunTime())
	} else {
		c.recordResult(first, outcome.First, elapsed)
	}
	if !outcome.Began {
		return outcome.First, elapsed
	}
	c.tried = append(c.tried, second)
	result, other := outcome.First, outcome.Second
	if outcome.SecondWon {
		result, other = outcome.Second, outcome.First
	}
	won := outcome.SecondWon && bfoutcome.Served(result)
	if won {
		c.handler.metrics.countHedge("won")
	}
	if outcome.Second == nil || bfoutcome.ReachedTarget(outcome.Second) {
		c.handler.hedgeBudget.Note(c.service, won)
	}
	if other == nil || bfoutcome.ReachedTarget(other) {
		c.countSend()
	}
	return result, elapsed
}

// chooseSecond chooses the target of a second copy and takes the copy from the budgets; it returns nil
// if none may be sent.
func (c *call) chooseSecond() *bffleet.Target {
	config := c.handler.config
	now := config.Timer.Now()
	if !c.mayHedge(c.deadline.Sub(now)) {
		return nil
	}
	target := config.Fleet.Pick(c.demand(bfhost.Refused{}), now, c.tried).Target()
	if target == nil || !bfhedge.HasRoom(target.Load(now)) {
		c.handler.metrics.countHedge("no_room")
		return nil
	}
	taken := c.handler.hedgeBudget.Take(c.service)
	if taken && !c.takeRetry() {
		c.handler.hedgeBudget.Return(c.service)
		taken = false
	}
	if !taken {
		c.handler.metrics.countHedge("denied")
		return nil
	}
	c.handler.metrics.countHedge("sent")
	return target
}

// sendSecond sends a second copy. One that reached no target is given back to the budgets.
func (c *call) sendSecond(ctx context.Context, target *bffleet.Target, policy bfhost.Policy) bfhost.Result {
	began := c.handler.config.Timer.Now()
	result := c.attempt(ctx, target, policy)
	if ctx.Err() == nil {
		c.recordResult(target, result, c.handler.config.Timer.Now().Sub(began))
	}
	if !bfoutcome.ReachedTarget(result) {
		c.handler.hedgeBudget.Return(c.service)
		c.handler.config.Account.Return(c.service)
	}
	return result
}
