package bfcaller

import (
	"context"
	"errors"
	"time"

	"bilberryflow.org/lib/bfrecord"
)

const (
	// suspectAfter is how long an answer may be out before its home is asked
	// about it: the connection may have gone silent.
	suspectAfter = 500 * time.Millisecond
	// askAgainAfter is the time between questions while the request runs.
	askAgainAfter = time.Second
	// askTimeout bounds one question.
	askTimeout = 500 * time.Millisecond
	// askPause is the time between questions that got no answer, and the time in
	// which an answer may still come that the home has sent.
	askPause = 50 * time.Millisecond
	// maxUnanswered is after how many questions without an answer an idempotent
	// request is better sent to another target.
	maxUnanswered = 2
	// stallAfter is how long an answer may stand still whose home has sent all of it.
	stallAfter = 2 * time.Second
	// resolveTime is how much longer than the deadline the entry tries to learn
	// what became of a request that is not idempotent.
	resolveTime = time.Second
)

// watch asks the home about a request that has been out for long. Once the
// home knows its end, the exchange over the silent connection is ended.
//
// Connections can go silent for good while new ones work. Nothing on the silent
// one shows it; the question goes another way.
func (s *sending) watch() {
	var unanswered int
	var heard bool
	for {
		reply, err := s.question(s.exchange)
		pause := askAgainAfter
		switch {
		case err != nil:
			if unanswered++; unanswered >= maxUnanswered && s.call.policy().Idempotent {
				s.end(s.giveUp)
				return
			}
			pause = askPause
		case reply.State == bfrecord.ResolvedRunning:
			unanswered = 0
		case s.intake.Load() != nil:
			if s.stalled() {
				s.end(resolved(reply))
				return
			}
		case heard || reply.State == bfrecord.ResolvedNeverSeen:
			s.end(resolved(reply))
			return
		default:
			// The answer itself may be a moment behind the home's word on it, and
			// is better: a large one is not kept for those who ask.
			heard, pause = true, askPause
		}
		if !s.call.pause(s.exchange, pause) {
			return
		}
	}
}

// end settles the attempt, unless it is, and ends the exchange.
func (s *sending) end(change func(*bfrecord.Attempt) bfrecord.Outcome) {
	if s.exchange.Err() == nil && s.locked(change) != nil {
		s.call.entry.parts.Client.ResetPeer(s.member.Inbound)
		s.cancel()
	}
}

func resolved(reply bfrecord.ResolveReply) func(*bfrecord.Attempt) bfrecord.Outcome {
	return func(a *bfrecord.Attempt) bfrecord.Outcome { return a.Resolved(reply) }
}

// stalled reports whether the entry waits for bytes that should be there; where
// it waits for its caller to take some, the connection is in order.
func (s *sending) stalled() bool {
	since := s.intake.Load().waiting.Load()
	return since != 0 && time.Now().UnixNano()-since > int64(stallAfter)
}

// question asks the home once.
func (s *sending) question(ctx context.Context) (bfrecord.ResolveReply, error) {
	s.call.entry.metrics.asked.Add(1)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return s.call.entry.parts.Resolver.Resolve(ctx, s.member.Peer,
		bfrecord.ResolveRequest{ID: s.attempt.ID(), Home: s.attempt.Home()})
}

// ask asks the home until it knows the end or there is no more time.
//
// The caller's own deadline may be over: whether its nomination ran is worth a
// little more time than a look-up. A caller that went away hears nothing any more.
func (s *sending) ask() bfrecord.Outcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(s.caller), s.call.deadline.Add(resolveTime))
	defer cancel()
	stop := context.AfterFunc(s.caller, func() {
		if errors.Is(s.caller.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	for {
		pause := askPause
		reply, err := s.question(ctx)
		if err == nil {
			if outcome := s.locked(resolved(reply)); outcome != nil {
				return outcome
			}
			pause = 4 * askPause // it still runs
		}
		if !s.call.pause(ctx, pause) {
			return s.locked(s.giveUp)
		}
	}
}
