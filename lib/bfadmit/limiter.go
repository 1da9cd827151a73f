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
	// After calls callback once, d from now.
	After(d time.Duration, callback func(now time.Time)) *bftimer.Subscription
}

// RefusedError reports a request that was not run.
type RefusedError struct{ Refuse Refuse }

// Error gives the reason and when to come back.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run: %s, retry after %v", e.Refuse.Reason(), e.Refuse.RetryAfter())
}

// CancelledError reports a request whose caller stopped waiting before it had a slot; it was not run.
type CancelledError struct{ Reason error }

// Error gives the reason.
func (e *CancelledError) Error() string { return fmt.Sprintf("not run: cancelled: %v", e.Reason) }

// Unwrap is the reason.
func (e *CancelledError) Unwrap() error { return e.Reason }

// Limiter is a Gate that many goroutines share.
type Limiter struct {
	now   func() time.Time
	timer Timer

	mu   sync.Mutex
	gate *Gate
	// waiters holds a channel of one place for each request that waits, so that
	// a verdict never blocks the goroutine that brings it.
	waiters map[string]chan Verdict
	wake    *bftimer.Subscription
	wakeAt  time.Time
	drained chan struct{}
}

// NewLimiter makes a limiter around gate, which nobody else may use from then on.
func NewLimiter(gate *Gate, now func() time.Time, timer Timer) *Limiter {
	return &Limiter{gate: gate, now: now, timer: timer, waiters: map[string]chan Verdict{}}
}

// Slot is the right to hand one request to the target.
type Slot struct {
	limiter *Limiter
	id      string
}

// Acquire waits for a slot; its errors are RefusedError and CancelledError, and both mean that the request was not run.
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

// leave takes a request out whose caller went away.
//
// Its verdict may have come at the same moment: a slot that nobody took would
// be lost for good, so it is given back.
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

// Release gives the slot back; a second call is an UnknownRequestError.
func (s *Slot) Release(outcome Outcome) error {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	notices, err := l.gate.Finish(now, s.id, outcome)
	l.deliver(now, notices)
	return err
}

// Drain refuses all new work; the channel is closed once nothing runs or waits.
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

// Resize takes another number of slots that the target announced.
func (l *Limiter) Resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.deliver(now, l.gate.Resize(now, slots))
}

// Load is how full the target is.
func (l *Limiter) Load() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Load(l.now())
}

// deliver needs the lock.
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

// schedule has the gate woken in time. A wake that is set too early stays: it
// finds nothing due and sets the next, which is cheaper than to move it at each step.
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
