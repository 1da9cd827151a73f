package bfrace

import (
	"context"
	"sync"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// Race describes the copies of an operation with results of type R.
type Race[R any] struct {
	// First runs the first copy.
	First func(ctx context.Context) R
	// Begin is called when the first copy has taken Delay. It returns what runs the second one, nil if
	// there is to be none.
	Delay time.Duration
	Begin func() (second func(ctx context.Context) R)
	// Succeeded reports whether a result is a success, Discard releases one that is not used. If both
	// copies fail, Outranks reports whether the second one's result is used.
	Succeeded func(R) bool
	Outranks  func(second, first R) bool
	Discard   func(R)
	Timer     *bftimer.Service
	// Spawn starts a goroutine.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Outcome is how a race ended.
type Outcome[R any] struct {
	// First is the result of the first copy. FirstCancelled is set if it was cancelled for the success
	// of the second one.
	First          R
	FirstCancelled bool
	// Began is set if there was a second copy. Second is its result, and SecondWon is set if it is used;
	// otherwise it may have been cancelled, and is zero if it was not awaited.
	Began     bool
	Second    R
	SecondWon bool
}

// state is what both copies of a race share.
type state[R any] struct {
	mu sync.Mutex
	// ended is set once the first copy has a result, so that no second one begins; dropped is set if
	// that is a success, so that the second one's is discarded. won is set if the second one succeeded
	// before, and the first one was cancelled for it.
	ended, dropped, won bool
	// cancel cancels the second copy, nil before it has begun.
	cancel context.CancelFunc
	result R
	// done is closed once result is complete.
	done chan struct{}
}

// Run runs the race. If the first copy fails while the second one runs, the second one is awaited.
func (r Race[R]) Run(ctx context.Context) Outcome[R] {
	s := &state[R]{done: make(chan struct{})}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	watch := r.Timer.After(r.Delay, func(time.Time) {
		r.Spawn("second copy", func(context.Context) error {
			r.runSecond(ctx, s, cancelFirst)
			return nil
		})
	})
	first := r.First(firstCtx)
	watch.Stop()
	outcome := Outcome[R]{First: first}
	outcome.Began = r.endFirst(s, first)
	if !outcome.Began || s.dropped {
		return outcome
	}
	<-s.done
	outcome.FirstCancelled, outcome.Second = s.won, s.result
	outcome.SecondWon = s.won || r.Succeeded(s.result) || r.Outranks(s.result, first)
	if outcome.SecondWon {
		r.Discard(first)
	} else {
		r.Discard(s.result)
	}
	return outcome
}

// runSecond runs the second copy if it is still wanted.
func (r Race[R]) runSecond(ctx context.Context, s *state[R], cancelFirst func()) {
	ctx, cancel := context.WithCancel(ctx)
	second := r.begin(s, cancel)
	if second == nil {
		cancel()
		return
	}
	result := second(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result = result
	close(s.done)
	switch {
	case s.dropped:
		r.Discard(result)
	case !s.ended && r.Succeeded(result):
		s.won = true
		cancelFirst()
	}
}

func (r Race[R]) begin(s *state[R], cancel context.CancelFunc) func(ctx context.Context) R {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	second := r.Begin()
	if second != nil {
		s.cancel = cancel
	}
	return second
}

// endFirst records the result of the first copy, and cancels the second one if that is a success and
// the second one has not won before: the first one's result can then no longer be read to its end. It
// reports whether the second one has begun.
func (r Race[R]) endFirst(s *state[R], first R) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	began = s.cancel != nil
	s.dropped = began && !s.won && r.Succeeded(first)
	if !s.dropped {
		return began
	}
	s.cancel()
	select {
	case <-s.done:
		r.Discard(s.result)
	default:
	}
	return began
}
