package bfadmit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// Timer is the part of bftimer.Service that a Limiter needs.
type Timer interface {
	// After calls callback once, after d.
	After(d time.Duration, callback func(now time.Time)) *bftimer.Subscription
}

// RefusedError reports a request that was refused and did not run.
type RefusedError struct{ Refuse Refuse }

// Error returns the message with the reason and the retry delay.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run: %s, retry after %v", e.Refuse.Reason(), e.Refuse.RetryAfter())
}

// CancelledError reports a request whose context ended before it had a slot. It did not run.
type CancelledError struct{ Reason error }

// Error returns the message with the reason.
func (e *CancelledError) Error() string { return fmt.Sprintf("not run: cancelled: %v", e.Reason) }

// Unwrap returns the error of the context.
func (e *CancelledError) Unwrap() error { return e.Reason }

// Limiter makes a Gate safe for concurrent use.
type Limiter struct {
	now   func() time.Time
	timer Timer

	mu   sync.Mutex
	gate *Gate
	// waiters holds a channel for each queued request. It has a buffer of one, so
	// that sending a verdict never blocks.
	waiters map[string]chan Verdict
	wake    *bftimer.Subscription
	wakeAt  time.Time
	drained chan struct{}
}

// NewLimiter returns a limiter for gate, which must not be used directly afterwards.
func NewLimiter(gate *Gate, now func() time.Time, timer Timer) *Limiter {
	return &Limiter{gate: gate, now: now, timer: timer, waiters: map[string]chan Verdict{}}
}

// Slot is a slot of the target that one request holds until Release.
type Slot struct {
	limiter *Limiter
	id      string
}

// Acquire waits for a slot. Its errors are RefusedError and CancelledError; the request did
// not run with either of them.
func (l *Limiter) Acquire(ctx context.Context, request Request) (*Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, &CancelledError{Reason: err}
	}
	verdict, waiter := l.offer(request)
	if waiter != nil {
		select {
		case verdict = <-waiter:
		case <-ctx.Done():
			l.leave(request.ID, waiter)
			return nil, &CancelledError{Reason: ctx.Err()}
		}
	}
	if refuse, refused := verdict.(Refuse); refused {
		return nil, &RefusedError{Refuse: refuse}
	}
	return &Slot{limiter: l, id: request.ID}, nil
}

func (l *Limiter) offer(request Request) (Verdict, chan Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	verdict, notices := l.gate.Offer(now, request)
	var waiter chan Verdict
	if _, waits := verdict.(Wait); waits {
		waiter = make(chan Verdict, 1)
		l.waiters[request.ID] = waiter
	}
	l.deliver(now, notices)
	return verdict, waiter
}

// leave removes a cancelled request.
//
// If its verdict was sent at the same moment, the slot is given back, since it
// would otherwise stay in use forever.
func (l *Limiter) leave(id string, waiter chan Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	delete(l.waiters, id)
	select {
	case verdict := <-waiter:
		if _, runs := verdict.(Run); runs {
			notices, _ := l.gate.Finish(now, id, Unused)
			l.deliver(now, notices)
		}
	default:
		notices, _ := l.gate.Cancel(now, id)
		l.deliver(now, notices)
	}
}

// Release gives the slot back. A second call returns an UnknownRequestError.
func (s *Slot) Release(outcome Outcome) error {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	notices, err := l.gate.Finish(now, s.id, outcome)
	l.deliver(now, notices)
	return err
}

// Drain refuses all new requests. The channel that it returns is closed once no request is
// running or queued.
func (l *Limiter) Drain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drained == nil {
		l.drained = make(chan struct{})
		now := l.now()
		l.deliver(now, l.gate.Drain(now))
	}
	return l.drained
}

// Resize sets the number of slots that the target announced.
func (l *Limiter) Resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.deliver(now, l.gate.Resize(now, slots))
}

// Load returns the load of the target.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Load(l.now())
}

// deliver sends the notices, closes drained if the gate is idle, and schedules the next
// wake. The caller must hold mu.
func (l *Limiter) deliver(now time.Time, notices []Notice) {
	for _, notice := range notices {
		l.waiters[notice.id] <- notice.verdict
		delete(l.waiters, notice.id)
	}
	if l.drained != nil && l.gate.Idle() {
		select {
		case <-l.drained:
		default:
			close(l.drained)
		}
	}
	l.schedule(now)
}

// schedule sets the timer for the gate's next wake. A timer that is set too early stays:
// a wake with nothing due is cheaper than resetting the timer at each call.
func (l *Limiter) schedule(now time.Time) {
	next, wanted := l.gate.NextWake(now)
	if !wanted || l.wake != nil && !next.Before(l.wakeAt) {
		return
	}
	if l.wake != nil {
		l.wake.Stop()
	}
	l.wakeAt = next
	l.wake = l.timer.After(next.Sub(now), l.onWake)
}

func (l *Limiter) onWake(time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wake = nil
	now := l.now()
	l.deliver(now, l.gate.Advance(now))
}
