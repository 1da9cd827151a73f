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

// The target becomes silent and ready again while the first publication is still in
// flight. The last state published must be the current one, or the fleet stops sending
// requests to a working target.
func TestCurrentTargetStateIsPublishedLast(t *testing.T) {
	is := is.New(t)
	var state atomic.Int32
	var published bfroster.TargetState
	firstStarted, release, done := make(chan struct{}), make(chan struct{}), make(chan struct{}, 2)
	var blocked atomic.Bool
	publisher := &targetPublisher{
		status: func() bfguard.Status { return bfguard.Status{State: bfroster.TargetState(state.Load())} },
		publish: func(_ context.Context, status bfguard.Status) error {
			if blocked.CompareAndSwap(false, true) {
				close(firstStarted)
				<-release
			}
			published = status.State
			done <- struct{}{}
			return nil
		},
	}
	state.Store(int32(bfroster.TargetSilent))
	var wait sync.WaitGroup
	wait.Go(func() { is.NoErr(publisher.publishCurrent(context.Background())) })
	<-firstStarted
	state.Store(int32(bfroster.TargetReady))
	wait.Go(func() { is.NoErr(publisher.publishCurrent(context.Background())) })
	select {
	case <-done: // published concurrently with the first, which the publisher must prevent
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	wait.Wait()
	is.Equal(published, bfroster.TargetReady)
}
