package bfcaller

import (
	"context"
	"errors"
	"time"

	"bilberryflow.org/lib/bfrecord"
)

const (
	// resolveAfter is the time without a response after which the home node is queried,
	// since the connection may be silently dead.
	resolveAfter = 500 * time.Millisecond
	// resolveInterval is the time between queries while the request runs.
	resolveInterval = time.Second
	// resolveTimeout limits one query.
	resolveTimeout = 500 * time.Millisecond
	// resolveRetryPause is the time between failed queries, and the time in which a
	// response that was already sent may still arrive.
	resolveRetryPause = 50 * time.Millisecond
	// maxFailedQueries is the number of failed queries after which an idempotent
	// request is sent to another target.
	maxFailedQueries = 2
	// stallTimeout is how long a read may be pending on a response that its node has
	// already sent completely.
	stallTimeout = 2 * time.Second
	// resolveGrace is the time after the deadline during which the outcome of a request
	// that is not idempotent is still queried.
	resolveGrace = time.Second
)

// pollHome queries the home node about a request that has no response yet, and
// cancels the attempt once the outcome is known.
//
// A connection can go silently dead while new ones work, so the query uses another
// connection.
func (p *pendingAttempt) pollHome() {
	var failures int
	var outcomeKnown bool
	for {
		reply, err := p.query(p.attemptCtx)
		pause := resolveInterval
		switch {
		case err != nil:
			if failures++; failures >= maxFailedQueries && p.call.policy().Idempotent {
				p.cancelWith(p.abandon)
				return
			}
			pause = resolveRetryPause
		case reply.State == bfrecord.ResolvedRunning:
			failures = 0
		case p.body.Load() != nil:
			if p.stalled() {
				p.cancelWith(applyReply(reply))
				return
			}
		case outcomeKnown || reply.State == bfrecord.ResolvedNeverSeen:
			p.cancelWith(applyReply(reply))
			return
		default:
			// The response itself may arrive a moment later and is preferred: large
			// responses are not kept in the record.
			outcomeKnown, pause = true, resolveRetryPause
		}
		if !p.call.pause(p.attemptCtx, pause) {
			return
		}
	}
}

// cancelWith applies change to the attempt and cancels it if that decided it.
func (p *pendingAttempt) cancelWith(change func(*bfrecord.Attempt) bfrecord.Outcome) {
	if p.attemptCtx.Err() == nil && p.update(change) != nil {
		p.call.entry.config.Client.ResetPeer(p.member.Inbound)
		p.cancel()
	}
}

func applyReply(reply bfrecord.ResolveReply) func(*bfrecord.Attempt) bfrecord.Outcome {
	return func(a *bfrecord.Attempt) bfrecord.Outcome { return a.OnResolveReply(reply) }
}

// stalled reports whether a read has been pending for too long. No read is pending
// while the caller is slow to accept bytes.
func (p *pendingAttempt) stalled() bool {
	since := p.body.Load().waitingSince.Load()
	return since != 0 && time.Now().UnixNano()-since > int64(stallTimeout)
}

// query sends one query to the home node.
func (p *pendingAttempt) query(ctx context.Context) (bfrecord.ResolveReply, error) {
	p.call.entry.metrics.resolves.Add(1)
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return p.call.entry.config.Resolver.Resolve(ctx, p.member.Peer,
		bfrecord.ResolveRequest{ID: p.record.ID(), Home: p.record.Home()})
}

// resolve queries the home node until the outcome is known, resolveGrace has passed
// since the request's deadline, or the caller disconnects. Whether a request ran that may run only
// once is worth the time beyond the deadline to its caller.
func (p *pendingAttempt) resolve() bfrecord.Outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(p.callerCtx), p.call.deadline.Add(resolveGrace))
	defer cancel()
	stop := context.AfterFunc(p.callerCtx, func() {
		if errors.Is(p.callerCtx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	for {
		pause := resolveRetryPause
		reply, err := p.query(ctx)
		if err == nil {
			if outcome := p.update(applyReply(reply)); outcome != nil {
				return outcome
			}
			pause = 4 * resolveRetryPause // still running
		}
		if !p.call.pause(ctx, pause) {
			return p.update(p.abandon)
		}
	}
}
