package bfcontrol

import (
	"cmp"
	"context"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// loop runs functions one after another on one goroutine and wakes itself when a core has something due.
type loop struct {
	timer  *bftimer.Service
	events chan func(now time.Time)
	// next tells when tick is due; the zero time means never.
	next func() time.Time
	tick func(now time.Time)
	// after runs behind each function and each tick.
	after func(now time.Time)
	// ended is closed when the loop runs nothing any more.
	ended chan struct{}
}

// StoppedError reports something asked of a node's control that has stopped.
type StoppedError struct{}

// Error says so.
func (*StoppedError) Error() string { return "control has stopped" }

// queueLength bounds what waits for the loop. A full queue makes senders wait,
// so a datagram storm is dropped by the socket rather than kept in memory.
const queueLength = 1024

func newLoop(timer *bftimer.Service) *loop {
	return &loop{timer: timer, events: make(chan func(time.Time), queueLength), ended: make(chan struct{})}
}

// post runs fn on the loop; false means that ctx or the loop ended first. It must
// not be called on the loop, which would wait for itself once the queue is full.
func (l *loop) post(ctx context.Context, fn func(now time.Time)) bool {
	select {
	case l.events <- fn:
		return true
	case <-ctx.Done():
		return false
	case <-l.ended:
		return false
	}
}

// ask runs fn on the loop and waits for it.
func (l *loop) ask(ctx context.Context, fn func(now time.Time)) error {
	done := make(chan struct{})
	if !l.post(ctx, func(now time.Time) { defer close(done); fn(now) }) {
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

func (l *loop) run(ctx context.Context) error {
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
			l.tick(l.timer.Now())
		}
		now := l.timer.Now()
		l.after(now)
		// Most messages change nothing about when the next tick is due; to set
		// the timer for each would wake its goroutine for each.
		if next := l.next(); !next.IsZero() && !next.Equal(scheduled) {
			scheduled = next
			wake.Reset(max(next.Sub(now), minWait))
		}
	}
}
