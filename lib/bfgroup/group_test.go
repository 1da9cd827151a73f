package bfgroup

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// One goroutine of a node panics while others work. The process must not die
// with every request in flight: the others are told to stop, all are waited for,
// and the error names the goroutine and the place.
func TestPanicStopsTheGroupInOrder(t *testing.T) {
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

// A member starts further members, one of which fails after a Cancel. The wait
// covers them all and gives the first error; the context of whoever made the group ends it too.
func TestWaitCoversMembersOfMembers(t *testing.T) {
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
