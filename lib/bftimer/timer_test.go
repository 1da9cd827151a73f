package bftimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a subscription that runs late or early because another one is stopped or reset.
func TestSubscriptionsRunIndependently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		service := New(1)
		start := time.Now()
		var repeated, moved []time.Duration
		every := func() time.Duration { return 2 * time.Second }
		service.Every(every, func(now time.Time) { repeated = append(repeated, now.Sub(start)) })
		stopped := service.After(time.Second, func(time.Time) { t.Error("a stopped subscription ran") })
		later := service.After(time.Hour, func(now time.Time) { moved = append(moved, now.Sub(start)) })
		done := make(chan error)
		go func() { done <- service.Run(ctx) }()
		stopped.Stop()
		later.Reset(3 * time.Second)
		time.Sleep(5 * time.Second)
		cancel()
		is.NoErr(<-done)
		is.Equal(repeated, []time.Duration{2 * time.Second, 4 * time.Second})
		is.Equal(moved, []time.Duration{3 * time.Second})
	})
}
