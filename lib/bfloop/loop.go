package bfloop

import (
	"cmp"
	"context"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// Core is what a loop looks after.
type Core struct {
	// Next tells when Tick is due; the zero time means never.
	Next func() time.Time
	Tick func(now time.Time)
	// After runs behind each function and each tick.
	After func(now time.Time)
}

// Loop runs functions one after another on one goroutine and wakes itself when its core has something due.
type Loop struct {
	timer  *bftimer.Service
	core   Core
	events chan func(now time.Time)
	// ended is closed when the loop runs nothing any more.
	ended chan struct{}
}

// StoppedError reports something asked of a loop that has ended.
type StoppedError struct{}

// Error says so.
func (*StoppedError) Error() string { return "the loop has stopped" }

// QueueLength bounds what waits for the loop. A full queue makes senders wait,
// so a datagram storm is dropped by the socket rather than kept in memory.
const QueueLength = 1024

// New makes a loop for core that takes its time from timer.
func New(timer *bftimer.Service, core Core) *Loop {
	return &Loop{timer: timer, core: core, events: make(chan func(time.Time), QueueLength), ended: make(chan struct{})}
}

// Waiting is how many functions wait for the loop.
func (l *Loop) Waiting() int { return len(l.events) }

// Post runs fn on the loop; false means that ctx or the loop ended first. It must
// not be called on the loop, which would wait for itself once the queue is full.
func (l *Loop) Post(ctx context.Context, fn func(now time.Time)) bool {
	select {
	case l.events <- fn:
		return true
	case <-ctx.Done():
		return false
	case <-l.ended:
		return false
	}
}

// Ask runs fn on the loop and waits for it.
func (l *Loop) Ask(ctx context.Context, fn func(now time.Time)) error {
	done := make(chan struct{})
	if !l.Post(ctx, func(now time.Time) { defer close(done); fn(now) }) {
		return cmp.Or(ctx.Err(), error(&StoppedError{}))
	}
	select {
	case <-done:
		return nil
	case <-l.ended:
		return &StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// minWait keeps a core that is always due from starving the messages.
const minWait = time.Millisecond

// Run serves the loop until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	due := make(chan struct{}, 1)
	wake := l.timer.After(0, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer wake.Stop()
	var scheduled time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-l.events:
			fn(l.timer.Now())
		case <-due:
			scheduled = time.Time{}
			l.core.Tick(l.timer.Now())
		}
		now := l.timer.Now()
		l.core.After(now)
		// Most messages change nothing about when the next tick is due; to set
		// the timer for each would wake its goroutine for each.
		if next := l.core.Next(); !next.IsZero() && !next.Equal(scheduled) {
			scheduled = next
			wake.Reset(max(next.Sub(now), minWait))
		}
	}
}
