package bfgroup

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// PanicError reports a panic in a goroutine of a group, with its stack.
type PanicError struct {
	Goroutine string
	Value     any
	Stack     string
}

// Error names the goroutine and the panic value, followed by the stack.
func (e *PanicError) Error() string {
	return fmt.Sprintf("goroutine %s panicked: %v\n%s", e.Goroutine, e.Value, e.Stack)
}

// Group is a set of named goroutines that share one context.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	group   *errgroup.Group
	running atomic.Int64
}

// New returns a group whose context ends with ctx, at Cancel, or at the first error of a goroutine.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, cancel: cancel, group: group}
}

// Context returns the context that every goroutine of the group receives.
func (g *Group) Context() context.Context { return g.ctx }

// Running returns the number of goroutines that have not returned.
func (g *Group) Running() int64 { return g.running.Load() }

// Go starts fn in a goroutine called name. A panic in fn becomes a PanicError.
func (g *Group) Go(name string, fn func(ctx context.Context) error) {
	g.running.Add(1)
	g.group.Go(func() (err error) {
		defer g.running.Add(-1)
		// An unrecovered panic would kill the process and all requests in flight. As an error
		// it stops the group, so that requests drain and the log names the goroutine.
		defer func() {
			if value := recover(); value != nil {
				err = &PanicError{Goroutine: name, Value: value, Stack: string(debug.Stack())}
			}
		}()
		return fn(g.ctx)
	})
}

// Cancel cancels the group's context.
func (g *Group) Cancel() { g.cancel() }

// Wait waits until every goroutine has returned, and returns the first error.
func (g *Group) Wait() error {
	defer g.cancel()
	return g.group.Wait()
}
