package bfgroup

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a panic in one goroutine that kills the process instead of cancelling the group.
func TestPanicCancelsTheGroup(t *testing.T) {
	is := is.New(t)
	group := New(context.Background())
	ended := false
	group.Go("worker", func(ctx context.Context) error {
		<-ctx.Done()
		ended = true
		return nil
	})
	group.Go("broken", func(context.Context) error { panic("at the disco") })
	var panicked *PanicError
	is.True(errors.As(group.Wait(), &panicked))
	is.True(ended)
	is.Equal(panicked.Goroutine, "broken")
	is.True(strings.Contains(panicked.Error(), "at the disco"))
	is.True(strings.Contains(panicked.Stack, "group_test.go"))
	is.Equal(group.Running(), int64(0))
}

// Guards against Wait returning before goroutines that other goroutines of the group started,
// and against a group that outlives its parent context.
func TestWaitCoversNestedGoroutines(t *testing.T) {
	is := is.New(t)
	parent, cancel := context.WithCancel(context.Background())
	group := New(parent)
	failure := errors.New("first")
	group.Go("outer", func(ctx context.Context) error {
		group.Go("inner", func(ctx context.Context) error { <-ctx.Done(); return failure })
		return nil
	})
	is.Equal(group.Running() >= 0, true)
	cancel()
	is.Equal(group.Wait(), failure)
	is.True(group.Context().Err() != nil)
}
