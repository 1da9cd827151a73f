package bfguard

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"

	"bilberryflow.org/lib/bfadmit"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrecord"
)

// run admits the request and hands it to the target.
//
// The slot is given back before the answer goes out: an entry that reads slowly
// would hold it while the target is idle, and the load told with the answer
// would count a request that has ended.
func (v *visit) run() end {
	g := v.guard
	// Counted before the target's state is read: a target that leaves is told
	// how many are in flight after its state was swapped, so whoever saw the
	// earlier state is among them, and the target does not exit under it.
	g.working.Add(1)
	defer g.working.Add(-1)
	present := g.present.Load()
	if present == nil || !present.status.Takes() {
		return v.abort(bfrecord.ReasonLeaving, comeBack)
	}
	if err := g.flights.Check(v.asked()); err != nil {
		end, _ := v.notBegun(err)
		return end
	}
	if v.needsClaim() {
		if wait := g.claims.breaker.wait(v.arrived); wait > 0 {
			return v.abort(bfrecord.ReasonTableAway, wait)
		}
	}
	// A request that waits is given up with its entry's connection, whatever its
	// kind: it was not run, and it is barred.
	slot, err := present.limiter.Acquire(v.r.Context(), v.admission())
	if err != nil {
		return v.notAdmitted(err)
	}
	end, outcome := v.useSlot(present.status)
	if err := slot.Release(outcome); err != nil {
		g.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
	return end
}

func (v *visit) useSlot(target Status) (end, bfadmit.Outcome) {
	ctx, cancel := v.context()
	defer cancel()
	if v.needsClaim() {
		return v.handOverClaimed(ctx, target)
	}
	return v.handOver(ctx, target)
}

// admission is the request as the gate sees it: the entry decided on its
// policy, and this node's own view gives the limits in force at its target.
func (v *visit) admission() bfadmit.Request {
	request := bfadmit.Request{
		ID: v.r.Header.Get(bfheader.RequestID), Class: v.meta.Stamp.Class, Tenant: v.meta.Tenant,
		Deadline: v.deadline,
	}
	view := v.guard.parts.View()
	if view == nil {
		return request
	}
	limits, err := view.Events().Reconcile(v.meta.Stamp, v.meta.Route, v.arrived)
	if err != nil {
		v.guard.skewed.Add(1)
	}
	request.Class, request.Priority, request.Queue = limits.Class(), limits.Priority(), limits.Queue()
	request.Concurrency, request.TenantLimit = limits.Concurrency(), limits.TenantLimit()
	return request
}

func (v *visit) notAdmitted(err error) end {
	var refused *bfadmit.RefusedError
	if !errors.As(err, &refused) {
		return v.abort(bfrecord.ReasonCanceled, 0)
	}
	reason := bfrecord.ReasonOverload
	switch refused.Refuse.Reason() {
	case bfadmit.Draining:
		reason = bfrecord.ReasonLeaving
	case bfadmit.Duplicate:
		// The book lets an ID run once, so the gate can't know it.
		v.guard.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	case bfadmit.QueueFull, bfadmit.Unreachable, bfadmit.Displaced:
	}
	return v.abort(reason, refused.Refuse.RetryAfter())
}

// handOver gives the request to the target once and says what that showed of the target.
func (v *visit) handOver(ctx context.Context, target Status) (end, bfadmit.Outcome) {
	g := v.guard
	now := g.parts.Timer.Now()
	switch {
	case v.r.Context().Err() != nil:
		return v.abort(bfrecord.ReasonCanceled, 0), bfadmit.Unused
	case !now.Before(v.deadline):
		return v.abort(bfrecord.ReasonDeadline, 0), bfadmit.Unused
	}
	// Targets may have ended under the request while it waited.
	flight, err := g.flights.Begin(flightTarget{g, target}, v.meta.ID.String(), v.asked())
	if err != nil {
		return v.notBegun(err)
	}
	v.flight = flight
	defer flight.End()
	header := v.r.Header
	targetHeader(header, v.meta.Depth)
	// The time that the request waited here is gone.
	bfheader.WriteDeadline(header, v.deadline.Sub(now))
	response, err := g.parts.Client.Send(ctx, target.Address, bfforward.Request{
		Method: v.r.Method, Target: v.r.RequestURI, Header: header, Body: v.body,
	}, nil)
	var notSent *bfforward.NotSentError
	switch {
	case errors.As(err, &notSent):
		return v.abort(bfrecord.ReasonUnreachable, comeBack), bfadmit.Unused
	case err != nil:
		return v.lost(err), bfadmit.Abandoned
	}
	defer response.Body.Close()
	g.latency.Observe(v.meta.Stamp.Class, g.parts.Timer.Now().Sub(v.arrived))
	if shed(response) {
		refusal := v.abort(bfhop.ReasonShed, bfheader.ReadRetryAfter(response.Header)).(refused)
		refusal.final = response.Header.Get(bfheader.Final) != ""
		return refusal, bfadmit.Shed
	}
	return v.relay(response)
}

// shed is the target's own word that it did not run the request.
func shed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(bfheader.Outcome) == bfheader.OutcomeNotRun
}

// targetHeader makes the hop's header the target's: it learns the request's ID,
// tenant, key and depth, and nothing of the nodes.
func targetHeader(header http.Header, depth int) {
	for _, name := range []string{bfheader.Home, bfheader.Route, bfheader.Policy, "Connection"} {
		delete(header, name)
	}
	header[bfheader.Depth] = []string{strconv.Itoa(depth + 1)}
}

func (v *visit) lost(err error) end {
	v.noteLoss()
	v.guard.unknown.Add(1)
	v.guard.parts.Logger.Emit(bflog.OutcomeUnknown, slog.String("request", v.meta.ID.String()), bflog.Err(err))
	lost := bfrecord.NewLostAnswer(err.Error())
	v.finish(lost)
	return ended{lost}
}
