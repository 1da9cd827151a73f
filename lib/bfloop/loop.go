package bfloop

import (
	"cmp"
	"context"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// Core holds the callbacks of a loop; all of them run on its goroutine.
type Core struct {
	// Next returns when Tick is due; the zero time means never.
	Next func() time.Time
	Tick func(now time.Time)
	// After runs after each posted function and each tick.
	After func(now time.Time)
}

// Loop runs posted functions sequentially on one goroutine, and the core's Tick when it is due.
type Loop struct {
	timer  *bftimer.Service
	core   Core
	events chan func(now time.Time)
	// ended is closed when Run returns.
	ended chan struct{}
}

// StoppedError reports that a function was not run since the loop has ended.
type StoppedError struct{}

// Error returns a fixed text.
func (*StoppedError) Error() string { return "the loop has stopped" }

// QueueLength is the capacity of the queue of posted functions. A full queue blocks senders, so
// that excess datagrams are dropped by the socket and not kept in memory.
const QueueLength = 1024

// New returns a loop for core that uses timer as its clock.
func New(timer *bftimer.Service, core Core) *Loop {
	return &Loop{timer: timer, core: core, events: make(chan func(time.Time), QueueLength), ended: make(chan struct{})}
}

// Waiting returns the number of queued functions.
func (l *Loop) Waiting() int { return len(l.events) }

// Post queues fn to run on the loop; false means that ctx or the loop ended first. It must not
// be called on the loop's goroutine, which would deadlock when the queue is full.
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

// Call runs fn on the loop and waits until it has run. It fails with a StoppedError if the loop
// ended first, or with ctx's error, in which case fn may still run.
func (l *Loop) Call(ctx context.Context, fn func(now time.Time)) error {
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

// minWait is the shortest wait for a tick, so that a core that is always due doesn't starve
// posted functions.
const minWait = time.Millisecond

// Run runs the loop until ctx is done.
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
		// Most functions don't change when the next tick is due. Resetting the timer for each
		// would wake the timer's goroutine each time.
		if next := l.core.Next(); !next.IsZero() && !next.Equal(scheduled) {
			scheduled = next
			wake.Reset(max(next.Sub(now), minWait))
		}
	}
}
