package bfadmit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bftimer"
)

func withLimiter(t *testing.T, slots int, test func(ctx context.Context, l *Limiter)) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		service := bftimer.New(1)
		var all sync.WaitGroup
		all.Go(func() { _ = service.Run(ctx) })
		test(ctx, NewLimiter(NewGate(Config{Slots: slots}), service.Now, service))
		cancel()
		all.Wait()
	})
}

func lookUpRequest(id int, deadline time.Duration) Request {
	return Request{ID: fmt.Sprint(id), Class: "look-up", Tenant: "a", Queue: 1000, Deadline: time.Now().Add(deadline)}
}

// Guards against exceeding or losing slots with concurrent callers, some of which are
// cancelled at the moment at which they get a slot.
func TestLimiterNeitherExceedsNorLosesSlots(t *testing.T) {
	is := is.New(t)
	withLimiter(t, 3, func(ctx context.Context, l *Limiter) {
		var running, most, served, cancelled atomic.Int64
		var all sync.WaitGroup
		for i := range 400 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				// Every odd one is cancelled when a slot becomes free for it.
				timeout := time.Duration(1+i%2*20) * time.Hour
				if i%2 == 1 {
					timeout = time.Duration(10+i%7*10) * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(ctx, timeout)
				defer cancel()
				slot, err := l.Acquire(ctx, lookUpRequest(i, time.Hour))
				if err != nil {
					cancelled.Add(1)
					return
				}
				most.Store(max(most.Load(), running.Add(1)))
				time.Sleep(10 * time.Millisecond)
				running.Add(-1)
				served.Add(1)
				is.NoErr(slot.Release(Done))
				var unknown *UnknownRequestError
				is.True(errors.As(slot.Release(Done), &unknown))
			})
		}
		all.Wait()
		is.Equal(most.Load(), int64(3))
		is.Equal(served.Load()+cancelled.Load(), int64(400))
		is.True(cancelled.Load() > 100)
		is.Equal(l.Load().InUse()+l.Load().Queued(), 0)
	})
}

// Guards against losing a slot that is granted to a cancelled request before its goroutine
// has called leave.
func TestSlotOfCancelledRequestIsGivenBack(t *testing.T) {
	is := is.New(t)
	withLimiter(t, 1, func(ctx context.Context, l *Limiter) {
		slot, err := l.Acquire(ctx, lookUpRequest(0, time.Hour))
		is.NoErr(err)
		_, waiter := l.offer(lookUpRequest(1, time.Hour))
		is.NoErr(slot.Release(Done)) // gives the slot to 1
		l.leave("1", waiter)
		is.Equal(l.Load().InUse(), 0)
	})
}

// Guards against requests waiting until their deadlines behind a target that hangs: each
// must be refused as soon as it is expected to be late, so that another target can serve it.
func TestWaitersOfAHungTargetAreRefusedEarly(t *testing.T) {
	is := is.New(t)
	withLimiter(t, 1, func(ctx context.Context, l *Limiter) {
		start := time.Now()
		_, err := l.Acquire(ctx, lookUpRequest(0, time.Minute))
		is.NoErr(err)
		_, err = l.Acquire(ctx, lookUpRequest(1, 10*time.Second))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Refuse.Reason(), DeadlineUnreachable)
		is.Equal(time.Since(start), 5*time.Second+time.Nanosecond) // idle for 5 s, 5 s left
		_, err = l.Acquire(ctx, lookUpRequest(2, 4*time.Second))
		is.True(errors.As(err, &refused)) // refused at once
		is.Equal(time.Since(start), 5*time.Second+time.Nanosecond)
	})
}

// Guards against Drain refusing requests that will start within drainGrace, keeping those
// that won't, admitting new ones, or reporting idle before the last request has ended.
func TestDrainKeepsRequestsThatStartSoon(t *testing.T) {
	is := is.New(t)
	withLimiter(t, 1, func(ctx context.Context, l *Limiter) {
		for i := range 4 { // the gate measures a service time of 1.5 s
			slot, err := l.Acquire(ctx, lookUpRequest(100+i, time.Minute))
			is.NoErr(err)
			time.Sleep(1500 * time.Millisecond)
			is.NoErr(slot.Release(Done))
		}
		first, err := l.Acquire(ctx, lookUpRequest(0, time.Minute))
		is.NoErr(err)
		errs := make([]error, 3)
		var all sync.WaitGroup
		for i := 1; i <= 2; i++ {
			all.Go(func() {
				slot, err := l.Acquire(ctx, lookUpRequest(i, time.Minute))
				if errs[i] = err; err == nil {
					time.Sleep(time.Second)
					is.NoErr(slot.Release(Done))
				}
			})
			synctest.Wait()
		}
		idle := l.Drain()
		synctest.Wait()
		var refused *RefusedError
		is.True(errors.As(errs[2], &refused))
		is.Equal(refused.Refuse.Reason(), Draining)
		_, err = l.Acquire(ctx, lookUpRequest(3, time.Minute))
		is.True(errors.As(err, &refused))
		time.Sleep(time.Second)
		is.NoErr(first.Release(Done))
		select {
		case <-idle:
			t.Error("idle with a request running")
		default:
		}
		all.Wait()
		is.NoErr(errs[1])
		<-idle
	})
}
