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

func simple(id int, deadline time.Duration) Request {
	return Request{ID: fmt.Sprint(id), Class: "look-up", Tenant: "a", Queue: 1000, Deadline: time.Now().Add(deadline)}
}

// Hundreds of callers arrive at one target, wait, give up at odd moments, some
// at the very moment at which they get their slot. The target must never see
// more requests than it has slots, and no slot may be lost, or it would end up
// idle with callers refused.
func TestLimiterNeitherExceedsNorLosesSlots(t *testing.T) {
	is := is.New(t)
	withLimiter(t, 3, func(ctx context.Context, l *Limiter) {
		var running, most, served, gone atomic.Int64
		var all sync.WaitGroup
		for i := range 400 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				// Every odd one gives up when a slot becomes free for it.
				patience := time.Duration(1+i%2*20) * time.Hour
				if i%2 == 1 {
					patience = time.Duration(10+i%7*10) * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(ctx, patience)
				defer cancel()
				slot, err := l.Acquire(ctx, simple(i, time.Hour))
				if err != nil {
					gone.Add(1)
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
		is.Equal(served.Load()+gone.Load(), int64(400))
		is.True(gone.Load() > 100)
		is.Equal(l.Load().InUse()+l.Load().Queued(), 0)
	})
}

// A caller gives up, and before its goroutine gets to say so the slot it waited
// for is given to it. Nobody will use or release that slot: it must be given
// back, or the target ends up idle with all slots taken.
func TestSlotOfOneWhoLeftIsGivenBack(t *testing.T) {
	is := is.New(t)
	withLimiter(t, 1, func(ctx context.Context, l *Limiter) {
		slot, err := l.Acquire(ctx, simple(0, time.Hour))
		is.NoErr(err)
		_, waiter := l.offer(simple(1, time.Hour))
		is.NoErr(slot.Release(Done)) // gives the slot to 1
		l.leave("1", waiter)
		is.Equal(l.Load().InUse(), 0)
	})
}

// The target hangs with a full queue behind it. Nothing arrives and nothing
// ends any more; still each waiter must be told at the moment when its deadline
// is out of reach, well before it, so that its caller can go elsewhere.
func TestWaitersOfAHungTargetAreRefusedEarly(t *testing.T) {
	is := is.New(t)
	withLimiter(t, 1, func(ctx context.Context, l *Limiter) {
		start := time.Now()
		_, err := l.Acquire(ctx, simple(0, time.Minute))
		is.NoErr(err)
		_, err = l.Acquire(ctx, simple(1, 10*time.Second))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Refuse.Reason(), Unreachable)
		is.Equal(time.Since(start), 5*time.Second+time.Nanosecond) // five seconds still, five left
		_, err = l.Acquire(ctx, simple(2, 4*time.Second))
		is.True(errors.As(err, &refused)) // refused at once
		is.Equal(time.Since(start), 5*time.Second+time.Nanosecond)
	})
}

// A planned stop with one request running and two waiting: one that will start
// within the grace keeps its place, one that will not is refused at once for
// another target to take, new ones are refused, and idle is told only when the
// last request has ended. Without the grace a long queue would be handed to a
// target that the rest of the system has already written off.
func TestDrainKeepsWhatStartsSoon(t *testing.T) {
	is := is.New(t)
	withLimiter(t, 1, func(ctx context.Context, l *Limiter) {
		for i := range 4 { // the gate learns a service time of 1.5 s
			slot, err := l.Acquire(ctx, simple(100+i, time.Minute))
			is.NoErr(err)
			time.Sleep(1500 * time.Millisecond)
			is.NoErr(slot.Release(Done))
		}
		first, err := l.Acquire(ctx, simple(0, time.Minute))
		is.NoErr(err)
		errs := make([]error, 3)
		var all sync.WaitGroup
		for i := 1; i <= 2; i++ {
			all.Go(func() {
				slot, err := l.Acquire(ctx, simple(i, time.Minute))
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
		_, err = l.Acquire(ctx, simple(3, time.Minute))
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
