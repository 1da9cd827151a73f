package bfcommand

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfguard"
	"bilberryflow.org/lib/bfroster"
)

// The target falls silent and comes back while the first telling is still on its
// way. Whatever overtakes what, the fleet must be left with the present state,
// or it would send no more requests to a target that works.
func TestTellerEndsWithThePresentState(t *testing.T) {
	is := is.New(t)
	var state atomic.Int32
	var told bfroster.TargetState
	first, both, second := make(chan struct{}), make(chan struct{}), make(chan struct{}, 2)
	var held atomic.Bool
	teller := &teller{
		status: func() bfguard.Status { return bfguard.Status{State: bfroster.TargetState(state.Load())} },
		tell: func(_ context.Context, status bfguard.Status) error {
			if held.CompareAndSwap(false, true) {
				close(first)
				<-both
			}
			told = status.State
			second <- struct{}{}
			return nil
		},
	}
	state.Store(int32(bfroster.TargetSilent))
	var wait sync.WaitGroup
	wait.Go(func() { is.NoErr(teller.run(context.Background())) })
	<-first
	state.Store(int32(bfroster.TargetReady))
	wait.Go(func() { is.NoErr(teller.run(context.Background())) })
	select {
	case <-second: // it overtook the first, which the teller is to prevent
	case <-time.After(50 * time.Millisecond):
	}
	close(both)
	wait.Wait()
	is.Equal(told, bfroster.TargetReady)
}
