package bfguard

import (
	"context"
	"errors"
	"fmt"
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

// run admits the request and sends it to the target.
//
// The slot is released before the response is written: otherwise an entry node that
// reads slowly would hold it while the target is idle, and the reported load would
// count a request that has ended.
func (in *inboundRequest) run() inboundResult {
	g := in.guard
	// Counted before the state is read: the count returned to a leaving target then
	// includes every request admitted under the earlier state, so the target does not
	// exit before they end.
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	current := g.current.Load()
	if current == nil || !current.status.AcceptsRequests() {
		return in.abort(bfrecord.ReasonLeaving, targetRetryAfter)
	}
	if err := g.flights.Check(in.quarantineRequest()); err != nil {
		result, _ := in.refuseFlight(err)
		return result
	}
	if in.needsClaim() {
		if wait := g.claims.breaker.delay(in.arrived); wait > 0 {
			return in.abort(bfrecord.ReasonTableUnavailable, wait)
		}
	}
	// A queued request is dropped when its entry node disconnects, whether idempotent
	// or not: it has not run, and its record prevents a later run.
	slot, err := current.limiter.Acquire(in.r.Context(), in.admissionRequest())
	if err != nil {
		return in.refuseAdmission(err)
	}
	result, outcome := in.runInSlot(current.status)
	if err := slot.Release(outcome); err != nil {
		g.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
	return result
}

func (in *inboundRequest) runInSlot(target Status) (inboundResult, bfadmit.Outcome) {
	ctx, cancel := in.context()
	defer cancel()
	if in.needsClaim() {
		return in.sendClaimed(ctx, target)
	}
	return in.sendToTarget(ctx, target)
}

// admissionRequest returns the limiter's view of the request: the policy is that
// of the entry node, the limits are those of this node's current view.
func (in *inboundRequest) admissionRequest() bfadmit.Request {
	request := bfadmit.Request{
		ID: in.r.Header.Get(bfheader.RequestID), Class: in.meta.Stamp.Class, Tenant: in.meta.Tenant,
		Deadline: in.deadline,
	}
	view := in.guard.config.View()
	if view == nil {
		return request
	}
	limits, err := view.Events().Reconcile(in.meta.Stamp, in.meta.Route, in.arrived)
	if err != nil {
		in.guard.skewed.Add(1)
	}
	request.Class, request.Priority, request.Queue = limits.Class(), limits.Priority(), limits.Queue()
	request.Concurrency, request.TenantLimit = limits.Concurrency(), limits.TenantLimit()
	return request
}

func (in *inboundRequest) refuseAdmission(err error) inboundResult {
	var refused *bfadmit.RefusedError
	if !errors.As(err, &refused) {
		return in.abort(bfrecord.ReasonCanceled, 0)
	}
	reason := bfrecord.ReasonOverload
	switch refused.Refuse.Reason() {
	case bfadmit.Draining:
		reason = bfrecord.ReasonLeaving
	case bfadmit.Duplicate:
		// The records admit an ID only once, so the limiter cannot hold it already.
		in.guard.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	case bfadmit.QueueFull, bfadmit.DeadlineUnreachable, bfadmit.Displaced:
	}
	return in.abort(reason, refused.Refuse.RetryAfter())
}

// sendToTarget sends the request to the target at most once. The second result is the
// outcome that the admission limiter counts.
func (in *inboundRequest) sendToTarget(ctx context.Context, target Status) (inboundResult, bfadmit.Outcome) {
	g := in.guard
	now := g.config.Timer.Now()
	switch {
	case in.r.Context().Err() != nil:
		return in.abort(bfrecord.ReasonCanceled, 0), bfadmit.Unused
	case !now.Before(in.deadline):
		return in.abort(bfrecord.ReasonDeadline, 0), bfadmit.Unused
	}
	// Checked again: identical requests may have crashed targets while this one was queued.
	flight, err := g.flights.Begin(flightTarget{g, target}, in.meta.ID.String(), in.quarantineRequest())
	if err != nil {
		return in.refuseFlight(err)
	}
	in.flight = flight
	defer flight.End()
	header := in.r.Header
	targetHeader(header, in.meta.Depth)
	// The time spent in the queue is deducted.
	bfheader.WriteDeadline(header, in.deadline.Sub(now))
	response, err := g.config.Client.Send(ctx, target.Address, bfforward.Request{
		Method: in.r.Method, Target: in.r.RequestURI, Header: header, Body: in.body,
	}, nil)
	var notSent *bfforward.NotSentError
	switch {
	case errors.As(err, &notSent):
		return in.abort(bfrecord.ReasonUnreachable, targetRetryAfter), bfadmit.Unused
	case err != nil:
		return in.recordLost(err), bfadmit.Abandoned
	}
	defer response.Body.Close()
	g.latency.Observe(in.meta.Stamp.Class, g.config.Timer.Now().Sub(in.arrived))
	if isShed(response) && !in.provesNotRun(response) {
		return in.recordLost(&AnswerIDError{Want: in.meta.ID.String(), Got: response.Header.Get(bfheader.RequestID)}), bfadmit.Abandoned
	}
	if isShed(response) {
		refusal := in.abort(bfhop.ReasonShed, bfheader.ReadRetryAfter(response.Header)).(refused)
		refusal.final = response.Header.Get(bfheader.Final) != ""
		return refusal, bfadmit.Shed
	}
	return in.relay(response)
}

// isShed reports whether the target itself states that it did not run the request.
func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(bfheader.Outcome) == bfheader.OutcomeNotRun
}

// provesNotRun reports whether a refusal of the target is surely that of this request. One that repeats no
// ID may be that of an earlier request on the connection, which matters if this one must not run twice.
func (in *inboundRequest) provesNotRun(response *http.Response) bool {
	return in.meta.Stamp.Idempotent || response.Header.Get(bfheader.RequestID) == in.meta.ID.String()
}

// AnswerIDError reports a refusal of the target that doesn't repeat the request's ID.
type AnswerIDError struct {
	Want string
	// Got is empty if the refusal has no ID.
	Got string
}

// Error includes both request IDs.
func (e *AnswerIDError) Error() string {
	return fmt.Sprintf("received a refusal with request ID %q instead of %q", e.Got, e.Want)
}

// targetHeader removes the headers meant for nodes. The target receives the
// request's ID, tenant, key and depth.
func targetHeader(header http.Header, depth int) {
	for _, name := range []string{bfheader.Home, bfheader.Route, bfheader.Policy, "Connection"} {
		delete(header, name)
	}
	header[bfheader.Depth] = []string{strconv.Itoa(depth + 1)}
}

func (in *inboundRequest) recordLost(err error) inboundResult {
	in.reportLoss()
	in.guard.unknown.Add(1)
	in.guard.config.Logger.Emit(bflog.OutcomeUnknown, slog.String("request", in.meta.ID.String()), bflog.Err(err))
	lost := bfrecord.NewLostAnswer(err.Error())
	in.finish(lost)
	return finished{lost}
}
