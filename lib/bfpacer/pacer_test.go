package bfpacer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bftimer"
)

// paceAll sends answers of a length concurrently, and returns the time at which each ended.
func paceAll(t *testing.T, pacer *Pacer, group *bfgroup.Group, answers int, length int) []time.Duration {
	t.Helper()
	began := time.Now()
	ends := make([]time.Duration, answers)
	var all sync.WaitGroup
	for i := range answers {
		all.Add(1)
		answer := pacer.Begin(int64(length))
		group.Go("answer", func(ctx context.Context) error {
			defer all.Done()
			defer answer.End()
			for sent := 0; sent < length; sent += Piece {
				if answer.Wait(ctx, Piece) != nil {
					return nil
				}
			}
			ends[i] = time.Since(began)
			return nil
		})
	}
	all.Wait()
	return ends
}

// Guards against concurrent downloads sharing the link evenly, which would make all of them
// late.
func TestLongAnswersAreSentInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := bfgroup.New(context.Background())
		timer := bftimer.New(1)
		group.Go("timer", timer.Run)
		const mbps, length = 5, 100 << 10
		pacer := New(timer, mbps)
		each := pacer.duration(length)
		ends := paceAll(t, pacer, group, 5, length)
		for i, end := range ends {
			is.True(end <= time.Duration(i+1)*each)        // at the full rate
			is.True(end >= time.Duration(i+1)*each-each/2) // one after another
		}
		is.Equal(pacer.Backlog(), time.Duration(0))
		group.Cancel()
		_ = group.Wait()
	})
}

// Guards against the rest of a cancelled download staying in the backlog, which would make
// the link look busy.
func TestEndRemovesUnsentBacklog(t *testing.T) {
	is := is.New(t)
	pacer := New(bftimer.New(1), 5)
	answer := pacer.Begin(1 << 20)
	is.True(pacer.Backlog() > 3*pacer.duration(1<<20)/4)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 10 { // more than maxCatchUp grants at once
		if answer.Wait(ctx, Piece) != nil {
			break
		}
	}
	is.True(pacer.Backlog() > 3*pacer.duration(1<<20)/4)
	answer.End()
	is.Equal(pacer.Backlog(), time.Duration(0))
	is.Equal(len(pacer.waiting), 0)
	is.Equal((*Pacer)(nil).Backlog(), time.Duration(0))
}
