package bfcaller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bfrecord"
)

// maxBufferedAnswer is the largest response in bytes that is buffered in full before the
// caller receives its first byte. If the connection breaks before then, the request can
// still be retried or its outcome queried.
const maxBufferedAnswer = 64 << 10

// attemptResult is the sealed set of results of one attempt: relayed and noAnswer.
type attemptResult interface{ isAttemptResult() }

// relayed is a response of the target, to be returned to the caller.
type relayed struct{ answer Relayed }

// noAnswer is the outcome of an attempt without a response to return to the caller.
type noAnswer struct {
	id      bfrecord.ID
	outcome bfrecord.Outcome
	// final is set when a downstream node has exhausted its retries.
	final bool
}

func (relayed) isAttemptResult()  {}
func (noAnswer) isAttemptResult() {}

// pendingAttempt is one attempt in progress. Its outcome is decided by the response or
// by a query to the home node (the node that holds the request's record), whichever is first.
type pendingAttempt struct {
	call   *call
	member bfdirectory.Member
	// callerCtx ends with the caller's request, attemptCtx also with the attempt.
	callerCtx, attemptCtx context.Context
	cancel                context.CancelFunc
	// body is the response body, nil before the response header arrived.
	body atomic.Pointer[answerBody]

	// mu guards the fields below.
	mu sync.Mutex
	// record derives the outcome from the responses and replies received so far.
	record *bfrecord.Attempt
	final  bool
}

// attempt sends the request to one target's node and returns the attempt's result.
func (c *call) attempt(ctx context.Context, attempt *bfrecord.Attempt, member bfdirectory.Member, chosen chosenTarget) attemptResult {
	chosen.begin()
	p := &pendingAttempt{call: c, member: member, callerCtx: ctx, record: attempt}
	p.attemptCtx, p.cancel = context.WithCancel(ctx)
	resolveTimer := c.entry.config.Timer.After(resolveAfter, func(time.Time) {
		c.entry.config.Spawn("poll home node", func(context.Context) error { p.pollHome(); return nil })
	})
	result := p.run(chosen)
	finish := func() {
		resolveTimer.Stop()
		p.cancel()
		chosen.end(c.entry.config.Timer.Now(), p.targetResult(result))
	}
	if relayed, isRelayed := result.(relayed); isRelayed && relayed.answer.Rest != nil {
		relayed.answer.Rest = &closeHook{ReadCloser: relayed.answer.Rest, onClose: finish}
		return relayed
	}
	finish()
	return result
}

// run sends the request and reads the response.
func (p *pendingAttempt) run(chosen chosenTarget) attemptResult {
	request, err := p.request()
	if err != nil {
		return p.settle(p.abandon)
	}
	response, err := p.call.entry.config.Client.Send(p.attemptCtx, p.member.Inbound, request, p.markSent)
	if err != nil {
		return p.handleLost(err)
	}
	if load, found := bfhop.ParseLoad(response.Header.Get(bfheader.Load)); found {
		chosen.report(load, p.call.entry.config.Timer.Now())
	}
	reply, err := bfhop.ReadReply(response)
	if _, ran := reply.(bfhop.Ran); ran && err == nil {
		return p.readAnswer(response)
	}
	response.Body.Close()
	if err != nil {
		return p.handleLost(err)
	}
	return p.handleReply(response, reply)
}

// markSent is called before the first byte of the request is handed to a connection.
func (p *pendingAttempt) markSent() {
	p.update(func(a *bfrecord.Attempt) bfrecord.Outcome { a.RecordSend(); return nil })
}

// update applies change to the attempt under the lock and returns the attempt's outcome, nil while undecided.
func (p *pendingAttempt) update(change func(*bfrecord.Attempt) bfrecord.Outcome) bfrecord.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.record.Err()
	change(p.record)
	if previous == nil && p.record.Err() != nil {
		p.call.entry.metrics.contradictions.Add(1)
	}
	return p.record.Outcome()
}

// abandon decides an attempt without a response: not run if it was never sent, else unknown.
func (p *pendingAttempt) abandon(a *bfrecord.Attempt) bfrecord.Outcome {
	return a.Abandon(bfrecord.ReasonUnreachable, noTargetRetryAfter)
}

// settle applies a change that decides the attempt.
func (p *pendingAttempt) settle(change func(*bfrecord.Attempt) bfrecord.Outcome) attemptResult {
	return p.result(p.update(change))
}

func (p *pendingAttempt) result(outcome bfrecord.Outcome) attemptResult {
	if done, isDone := outcome.(bfrecord.Done); isDone {
		if whole, kept := done.Answer().(bfrecord.WholeAnswer); kept {
			return relayed{Relayed{ID: p.record.ID(), Status: whole.Status(), Header: whole.Header(), Body: whole.Body()}}
		}
	}
	return noAnswer{id: p.record.ID(), outcome: outcome, final: p.final}
}

func (p *pendingAttempt) request() (bfforward.Request, error) {
	c := p.call
	header := make(http.Header, len(c.request.Header)+bfhop.MaxHeaders)
	maps.Copy(header, c.request.Header)
	meta := bfhop.Meta{
		ID: p.record.ID(), Home: p.record.Home(), Route: c.match.Route().Name, Stamp: c.decision.Stamp(),
		Tenant: c.request.Tenant, Key: c.request.Key, TimeLeft: c.deadline.Sub(c.entry.config.Timer.Now()),
		Depth: c.request.Depth, Resent: c.resent,
	}
	if err := meta.Write(header); err != nil {
		return bfforward.Request{}, err
	}
	return bfforward.Request{Method: c.request.Method, Target: c.request.target(), Header: header, Body: c.request.Body}, nil
}

// handleReply applies a node's reply to a request that produced no response of the target.
func (p *pendingAttempt) handleReply(response *http.Response, reply bfhop.Reply) attemptResult {
	outcome := p.update(func(a *bfrecord.Attempt) bfrecord.Outcome {
		switch reply := reply.(type) {
		case bfhop.Refused:
			p.final = response.Header.Get(bfheader.Final) != ""
			return a.OnRefusal(reply.Refusal)
		case bfhop.InProgress:
			return a.OnStillRunning(reply.ID)
		case bfhop.Dropped:
			return a.OnAnswer(bfrecord.NewDroppedAnswer(reply.Status))
		}
		return a.OnAnswer(bfrecord.NewLostAnswer("lost by the target's node"))
	})
	if outcome == nil {
		// The node reports this attempt itself as in progress: the request arrived
		// twice, and this is the reply to the second copy.
		return p.handleLost(&bfhop.ReplyError{Outcome: response.Header.Get(bfheader.Outcome)})
	}
	return p.result(outcome)
}

// readAnswer buffers a small response in full before any of it is returned to the caller.
func (p *pendingAttempt) readAnswer(response *http.Response) attemptResult {
	body := &answerBody{body: response.Body}
	p.body.Store(body)
	var head bytes.Buffer
	head.Grow(int(min(max(response.ContentLength, 0), maxBufferedAnswer)) + bytes.MinRead)
	_, err := io.CopyN(&head, body, maxBufferedAnswer+1)
	answer := Relayed{ID: p.record.ID(), Status: response.StatusCode, Header: response.Header}
	switch {
	case err == nil:
		answer.Rest = body
	case errors.Is(err, io.EOF):
		response.Body.Close()
	default:
		response.Body.Close()
		return p.handleLost(err)
	}
	answer.Body = head.Bytes()
	// Counts a contradiction if the home node reported "not run" before.
	p.update(func(a *bfrecord.Attempt) bfrecord.Outcome {
		return a.OnAnswer(bfrecord.NewDroppedAnswer(response.StatusCode))
	})
	return relayed{answer}
}

// handleLost determines the outcome of a request whose response did not arrive completely.
func (p *pendingAttempt) handleLost(cause error) attemptResult {
	var notSent *bfforward.NotSentError
	if errors.As(cause, &notSent) {
		return p.settle(p.abandon)
	}
	// A reply of the home node may have decided the attempt and canceled its context.
	if outcome := p.update(func(*bfrecord.Attempt) bfrecord.Outcome { return nil }); outcome != nil {
		return p.result(outcome)
	}
	if p.callerCtx.Err() == nil {
		p.call.entry.config.Client.ResetPeer(p.member.Inbound)
	}
	// A caller that disconnected receives no response, and an idempotent request is
	// retried, so neither needs a query to the home node.
	if p.call.policy().Idempotent || errors.Is(p.callerCtx.Err(), context.Canceled) {
		return p.settle(p.abandon)
	}
	return p.result(p.resolve())
}

// answerBody is a response body that tracks pending reads and failures.
type answerBody struct {
	body io.ReadCloser
	// waitingSince is the start of the pending read in nanoseconds since 1970, 0 if none is pending.
	waitingSince atomic.Int64
	broken       atomic.Bool
}

// Read reads the next bytes of the body.
func (b *answerBody) Read(p []byte) (int, error) {
	b.waitingSince.Store(time.Now().UnixNano())
	n, err := b.body.Read(p)
	b.waitingSince.Store(0)
	if err != nil && !errors.Is(err, io.EOF) {
		b.broken.Store(true)
	}
	return n, err
}

// Close closes the body.
func (b *answerBody) Close() error { return b.body.Close() }

// closeHook runs a function after the reader is closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

// Close closes the reader and calls onClose.
func (c *closeHook) Close() error {
	defer c.onClose()
	return c.ReadCloser.Close()
}
