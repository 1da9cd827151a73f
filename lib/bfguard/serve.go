package bfguard

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfresource"
)

const (
	// maxBody is the largest request body in bytes; entry nodes reject larger ones.
	maxBody = 64 << 20
	// targetRetryAfter is the retry delay for a target that accepts no requests.
	targetRetryAfter = time.Second
)

// inboundRequest is one received copy of a request.
type inboundRequest struct {
	guard    *Guard
	w        http.ResponseWriter
	r        *http.Request
	meta     bfhop.Meta
	body     []byte
	deadline time.Time
	arrived  time.Time
	// sentTo is this node with the incarnation that the entry node sent to.
	sentTo bfrecord.NodeIncarnation
	// content is a digest of the request's content.
	content bfrecord.Digest
	// answer is the result of the run, nil if the request was not sent to the target.
	answer bfrecord.Answer
	// flight tracks the request at the target, nil before it was sent.
	flight *bfflight.Flight
	// truncated is set if only part of a response was forwarded.
	truncated bool
}

// inboundResult is the sealed set of results: refused, finished, inProgress and streamed.
type inboundResult interface{ isInboundResult() }

// refused means that the request was not run; final means that no node should retry it.
type refused struct {
	refusal bfrecord.Refusal
	final   bool
}

// finished is the result of a run for this copy of the request or an earlier one.
type finished struct{ answer bfrecord.Answer }

// inProgress means that an earlier copy of the request has not ended.
type inProgress struct{ id bfrecord.ID }

// streamed means that the response was too large to buffer and has been forwarded.
type streamed struct{}

func (refused) isInboundResult()    {}
func (finished) isInboundResult()   {}
func (inProgress) isInboundResult() {}
func (streamed) isInboundResult()   {}

// ServeHTTP serves a request from an entry node.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.unanswered.Add(1)
	defer g.unanswered.Add(-1)
	now := g.config.Timer.Now()
	meta, err := bfhop.Read(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in := &inboundRequest{guard: g, w: w, r: r, meta: meta, sentTo: meta.Home, arrived: now, deadline: now.Add(meta.TimeLeft)}
	in.meta.Home = g.canonicalHome(meta.Home)
	var body *bfhop.BodyError
	in.body, err = bfhop.ReadBody(w, r, maxBody, meta.TimeLeft)
	if errors.As(err, &body) && body.Exhausted {
		w.Header().Set("Connection", "close")
		in.writeRefusal(exhausted(meta))
		return
	}
	if err != nil {
		// The request is incomplete, so no record of it is made.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.writeResult(in.begin())
	if in.truncated {
		// A normal return would make a truncated response look complete.
		panic(http.ErrAbortHandler)
	}
}

// exhausted is the refusal of a request for which the node has no memory left.
func exhausted(meta bfhop.Meta) refused {
	return refused{refusal: bfrecord.Refusal{ID: meta.ID, Home: meta.Home, Reason: bfrecord.ReasonOverload, RetryAfter: bfresource.RetryAfter}}
}

// RefuseExhausted answers a request for which the node has no memory left. It has not run.
func (g *Guard) RefuseExhausted(w http.ResponseWriter, r *http.Request) {
	meta, err := bfhop.Read(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in := &inboundRequest{guard: g, w: w, r: r, meta: meta}
	in.writeRefusal(exhausted(meta))
}

// begin looks up or creates the request's record, and runs the request if it is new.
func (in *inboundRequest) begin() inboundResult {
	g := in.guard
	in.computeDigest()
	verdict := g.records.Begin(in.arrived, bfrecord.Request{
		ID: in.meta.ID, Home: in.meta.Home, Content: in.content, Class: in.meta.Stamp.Class,
	})
	switch verdict := verdict.(type) {
	case bfrecord.Run:
		return in.run()
	case bfrecord.Replay:
		return finished{verdict.Answer()}
	case bfrecord.StillRunning:
		return inProgress{in.meta.ID}
	}
	refusal, isRefusal := bfrecord.NewVerdictRefusal(in.meta.ID, in.sentTo, verdict)
	if !isRefusal {
		g.config.Logger.Emit(bflog.InvariantBroken, slog.String("request", in.meta.ID.String()))
	}
	return refused{refusal: refusal}
}

// computeDigest sets the digest of a request with a key, to detect a key that is used
// with other content. Without a key the ID is unique to one attempt.
func (in *inboundRequest) computeDigest() {
	if in.meta.Key == "" {
		return
	}
	hash := sha256.New()
	for _, part := range []string{in.r.Method, in.r.RequestURI, in.meta.Tenant, strconv.Itoa(len(in.body))} {
		// hash.Hash never returns an error.
		_, _ = io.WriteString(hash, part+"\n")
	}
	_, _ = hash.Write(in.body)
	in.content = bfrecord.Digest(hash.Sum(nil)[:16])
}

// recordAbort records that the request was not sent to the target and never will be.
func (in *inboundRequest) recordAbort() {
	if err := in.guard.records.Abort(in.guard.config.Timer.Now(), in.meta.ID); err != nil {
		in.guard.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

// abort records that the request was not run and returns the refusal.
func (in *inboundRequest) abort(reason bfrecord.Reason, retryAfter time.Duration) inboundResult {
	in.recordAbort()
	// The entry node uses the incarnation that it sent to.
	return refused{refusal: bfrecord.NewAbortRefusal(in.meta.ID, in.sentTo, reason, retryAfter)}
}

// finish records the result of a request that was sent to the target.
func (in *inboundRequest) finish(answer bfrecord.Answer) {
	g := in.guard
	in.answer = answer
	if err := g.records.Finish(g.config.Timer.Now(), in.meta.ID, answer); err != nil {
		g.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
}

// finishGrace is how much longer than its deadline a request that is not idempotent
// may run. Its caller already received "unknown"; later queries get the outcome.
const finishGrace = 2 * time.Second

// context returns the context of the run.
//
// A request that is not idempotent continues when its entry node disconnects, since
// canceling it halfway would leave its outcome unknown.
func (in *inboundRequest) context() (context.Context, context.CancelFunc) {
	if in.meta.Stamp.Idempotent {
		return context.WithDeadline(in.r.Context(), in.deadline)
	}
	return context.WithDeadline(context.WithoutCancel(in.r.Context()), in.deadline.Add(finishGrace))
}
