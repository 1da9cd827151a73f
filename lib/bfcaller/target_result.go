package bfcaller

import (
	"context"
	"errors"
	"time"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bfrecord"
)

// chosenTarget is the target of an attempt with its chooser. It is empty for a
// request with a minted key, whose target was not chosen.
type chosenTarget struct {
	chooser *bfchoice.Chooser
	target  *bfchoice.Target
}

func (c chosenTarget) begin() {
	if c.target != nil {
		c.target.Begin()
	}
}

func (c chosenTarget) end(now time.Time, result bfchoice.Result) {
	if c.target != nil {
		c.chooser.End(now, c.target, result)
	}
}

func (c chosenTarget) report(load bfhop.Load, now time.Time) {
	if c.target != nil {
		c.target.Report(bfchoice.Load{
			InUse: load.InUse, Queued: load.Queued, Slots: load.Slots, ServiceTime: load.ServiceTime, At: now,
		})
	}
}

// targetResult returns the result that the chooser counts for the target's health.
//
// A canceled request or a very short deadline says nothing about the target's health:
// counted as failures, a series of them would eject every target.
func (p *pendingAttempt) targetResult(result attemptResult) bfchoice.Result {
	if p.targetAnswered(result) {
		return bfchoice.Success
	}
	if errors.Is(p.callerCtx.Err(), context.Canceled) || p.call.shortDeadline && p.deadlinePassed() {
		return bfchoice.Cancelled
	}
	return bfchoice.Failure
}

// deadlinePassed reports whether the request's deadline has passed. The clock is checked
// too, since on a busy machine a connection can reach its deadline before the
// context with the same deadline is done.
func (p *pendingAttempt) deadlinePassed() bool {
	return p.callerCtx.Err() != nil || !p.call.entry.config.Timer.Now().Before(p.call.deadline)
}

func (p *pendingAttempt) targetAnswered(result attemptResult) bool {
	unanswered, isUnanswered := result.(noAnswer)
	if !isUnanswered {
		body := p.body.Load()
		return body == nil || !body.broken.Load()
	}
	notRun, isNotRun := unanswered.outcome.(bfrecord.NotRun)
	return isNotRun && isHealthyRefusal(notRun.Reason())
}

// isHealthyRefusal reports whether a healthy target may refuse a request for the
// reason. Shedding a request that its node admitted is not among them.
func isHealthyRefusal(reason bfrecord.Reason) bool {
	switch reason {
	case bfrecord.ReasonOverload, bfrecord.ReasonLeaving, bfrecord.ReasonDeadline, bfrecord.ReasonCanceled,
		bfrecord.ReasonTableUnavailable, bfrecord.ReasonTrackerFull, bfrecord.ReasonMismatch,
		bfrecord.ReasonQuarantined:
		return true
	}
	return false
}
