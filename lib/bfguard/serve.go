package bfguard

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"bilberryflow.org/lib/bfadmit"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrecord"
)

const (
	// maxBody is the largest request body in bytes; entries refuse larger ones.
	maxBody = 64 << 20
	// comeBack is when to come back to a target that takes no work.
	comeBack = time.Second
)

// visit is one arrival of a request.
type visit struct {
	guard   *Guard
	w       http.ResponseWriter
	r       *http.Request
	meta    bfhop.Meta
	body    []byte
	status  Status
	arrived time.Time
	// sentTo is the incarnation that the entry named.
	sentTo bfrecord.Home
	// ran is the end of the run, nil if the request was not handed to the target.
	ran bfrecord.Answer
	// cut says that part of an answer was handed on and the rest will not come.
	cut bool
}

// ServeHTTP takes a request from an entry node.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if r.Method == http.MethodOptions && r.URL.Path == "*" {
		// A connection that is opened before it is needed.
		w.WriteHeader(http.StatusNoContent)
		return
	}
	now := g.parts.Timer.Now()
	meta, err := bfhop.Read(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sentTo := meta.Home
	meta.Home = g.ownHome(meta.Home)
	v := &visit{guard: g, w: w, r: r, meta: meta, sentTo: sentTo, status: g.Status(now), arrived: now}
	if v.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		// The request did not come whole, so no record of it is made.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.begin()
	if v.cut {
		// Ending in the ordinary way would pass a part off as the whole.
		panic(http.ErrAbortHandler)
	}
}

// begin takes the request up once, whatever copies of it arrive.
func (v *visit) begin() {
	g := v.guard
	verdict := g.books.Begin(v.arrived, bfrecord.Request{
		ID: v.meta.ID, Home: v.meta.Home, Content: v.content(), Class: v.meta.Stamp.Class,
	})
	switch verdict := verdict.(type) {
	case bfrecord.Run:
		v.run()
	case bfrecord.Replay:
		v.replay(verdict.Answer())
	case bfrecord.StillRunning:
		bfhop.WriteBusy(v.w, v.meta.ID)
	default:
		refusal, isRefusal := bfrecord.NewVerdictRefusal(v.meta.ID, v.sentTo, verdict)
		if !isRefusal {
			g.parts.Logger.Emit(bflog.InvariantBroken, slog.String("request", v.meta.ID.String()))
		}
		v.refuse(refusal)
	}
}

// content identifies what is asked, so that a key used for something else is noticed.
func (v *visit) content() bfrecord.Digest {
	hash := sha256.New()
	for _, part := range []string{v.r.Method, v.r.URL.RequestURI(), v.meta.Tenant, strconv.Itoa(len(v.body))} {
		// A hash never fails to take bytes.
		_, _ = io.WriteString(hash, part+"\n")
	}
	_, _ = hash.Write(v.body)
	return bfrecord.Digest(hash.Sum(nil)[:16])
}

func (v *visit) refuse(refusal bfrecord.Refusal) {
	v.guard.refused.Add(1)
	v.setLoad()
	if err := bfhop.WriteRefusal(v.w, refusal); err != nil {
		v.guard.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

// bar records that the request was never handed to the target and never will be.
func (v *visit) bar() {
	if err := v.guard.books.Abort(v.guard.parts.Timer.Now(), v.meta.ID); err != nil {
		v.guard.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

// abort bars the request and answers that it was not run.
func (v *visit) abort(reason bfrecord.Reason, retryAfter time.Duration) {
	v.bar()
	refusal := bfrecord.NewAbortRefusal(v.meta.ID, v.guard.parts.Home, reason, retryAfter)
	// The entry knows this process by the incarnation that it sent to.
	refusal.Home = v.sentTo
	v.refuse(refusal)
}

// finish records the end of a request that was handed to the target.
func (v *visit) finish(answer bfrecord.Answer) {
	g := v.guard
	v.ran = answer
	if err := g.books.Finish(g.parts.Timer.Now(), v.meta.ID, answer); err != nil {
		g.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

// run admits the request and hands it to the target.
func (v *visit) run() {
	limiter := v.guard.limiter.Load()
	if limiter == nil || !v.status.Takes() {
		v.abort(bfrecord.ReasonLeaving, comeBack)
		return
	}
	ctx, cancel := v.context()
	defer cancel()
	slot, err := limiter.Acquire(ctx, v.admission())
	if err != nil {
		v.notAdmitted(err)
		return
	}
	var outcome bfadmit.Outcome
	if v.needsClaim() {
		outcome = v.handOverClaimed(ctx)
	} else {
		outcome = v.handOver(ctx)
	}
	if err := slot.Release(outcome); err != nil {
		v.guard.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

// admission is the request as the gate sees it: the entry decided on its
// policy, and this node's own view gives the limits in force at its target.
func (v *visit) admission() bfadmit.Request {
	request := bfadmit.Request{
		ID: v.meta.ID.String(), Class: v.meta.Stamp.Class, Tenant: v.meta.Tenant,
		Deadline: v.arrived.Add(v.meta.Left),
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

// notAdmitted answers at once that the request was not run.
func (v *visit) notAdmitted(err error) {
	var refused *bfadmit.RefusedError
	if !errors.As(err, &refused) {
		v.abort(bfrecord.ReasonCanceled, 0)
		return
	}
	reason := bfrecord.ReasonOverload
	if refused.Refuse.Reason() == bfadmit.Draining {
		reason = bfrecord.ReasonLeaving
	}
	v.abort(reason, refused.Refuse.RetryAfter())
}

// context bounds the run by the deadline.
//
// A request that is not idempotent goes on when its entry's connection breaks:
// the entry will ask what became of it, and to have stopped halfway is the one
// answer that helps nobody.
func (v *visit) context() (context.Context, context.CancelFunc) {
	ctx := v.r.Context()
	if !v.meta.Stamp.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, v.arrived.Add(v.meta.Left))
}

// handOver gives the request to the target once and says what that showed of the target.
func (v *visit) handOver(ctx context.Context) bfadmit.Outcome {
	g := v.guard
	request := bfforward.Request{
		Method: v.r.Method, Target: v.r.URL.RequestURI(), Header: v.targetHeader(), Body: v.body,
	}
	response, err := g.parts.Client.Send(ctx, v.status.Address, request, nil)
	var notSent *bfforward.NotSentError
	switch {
	case errors.As(err, &notSent):
		v.abort(bfrecord.ReasonUnreachable, comeBack)
		return bfadmit.Unused
	case err != nil:
		v.lost(err)
		return bfadmit.Abandoned
	}
	defer response.Body.Close()
	g.latency.Observe(v.meta.Stamp.Class, g.parts.Timer.Now().Sub(v.arrived))
	if response.Header.Get(bfheader.Outcome) == bfheader.OutcomeNotRun {
		// The target's own word that it did not run the request.
		if response.Header.Get(bfheader.Final) != "" {
			v.w.Header().Set(bfheader.Final, "1")
		}
		v.abort(bfrecord.ReasonOverload, bfheader.ReadRetryAfter(response.Header))
		return bfadmit.Shed
	}
	return v.relay(response)
}

func (v *visit) targetHeader() http.Header {
	header := v.r.Header.Clone()
	for _, name := range []string{bfheader.Home, bfheader.Route, bfheader.Policy} {
		header.Del(name)
	}
	header.Set(bfheader.Depth, strconv.Itoa(v.meta.Depth+1))
	bfheader.WriteDeadline(header, v.meta.Left)
	return header
}

func (v *visit) lost(err error) {
	v.guard.unknown.Add(1)
	v.guard.parts.Logger.Emit(bflog.OutcomeUnknown, slog.String("request", v.meta.ID.String()), bflog.Err(err))
	v.finish(bfrecord.NewLostAnswer(err.Error()))
	bfhop.WriteLost(v.w)
}

// keepBytes is the largest answer that is read whole before any of it goes on,
// so that it can be recorded first.
const keepBytes = 16 << 10

// relay records the answer and hands it on, whole or visibly cut.
func (v *visit) relay(response *http.Response) bfadmit.Outcome {
	var head bytes.Buffer
	_, err := io.CopyN(&head, response.Body, keepBytes+1)
	switch {
	case errors.Is(err, io.EOF):
		answer := bfrecord.NewWholeAnswer(response.StatusCode, response.Header, head.Bytes())
		v.finish(answer)
		v.replay(answer)
		return bfadmit.Done
	case err != nil:
		v.lost(err)
		return bfadmit.Abandoned
	}
	return v.stream(response, head.Bytes())
}

// stream hands on an answer too large to record.
func (v *visit) stream(response *http.Response, head []byte) bfadmit.Outcome {
	v.writeHeader(response.Header)
	if response.ContentLength >= 0 {
		v.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	v.w.WriteHeader(response.StatusCode)
	_, writeErr := v.w.Write(head)
	var readErr error
	if writeErr == nil {
		readErr, writeErr = copyBody(v.w, response.Body)
	}
	v.finish(bfrecord.NewDroppedAnswer(response.StatusCode))
	if readErr != nil || writeErr != nil {
		v.cut = true
	}
	if readErr != nil {
		return bfadmit.Abandoned
	}
	return bfadmit.Done
}

// copyBody tells a target that broke off from an entry that went away.
func copyBody(to io.Writer, from io.Reader) (readErr, writeErr error) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr = to.Write(buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil, nil
		case err != nil:
			return err, nil
		}
	}
}

// replay writes an answer that is recorded.
func (v *visit) replay(answer bfrecord.Answer) {
	switch a := answer.(type) {
	case bfrecord.WholeAnswer:
		v.writeHeader(a.Header())
		v.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body())))
		v.w.WriteHeader(a.Status())
		// An entry that went away asks what became of the request.
		_, _ = v.w.Write(a.Body())
	case bfrecord.DroppedAnswer:
		bfhop.WriteDropped(v.w, a.Status())
	case bfrecord.LostAnswer:
		bfhop.WriteLost(v.w)
	}
}

func (v *visit) writeHeader(from http.Header) {
	to := v.w.Header()
	for name, values := range from {
		to[name] = values
	}
	to.Set(bfheader.Outcome, bfheader.OutcomeDone)
	v.setLoad()
}

func (v *visit) setLoad() { v.w.Header().Set(bfheader.Load, v.guard.load().String()) }
