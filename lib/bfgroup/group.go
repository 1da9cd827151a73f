package bfgroup

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// PanicError reports a goroutine of a group that panicked.
type PanicError struct {
	Goroutine string
	Value     any
	Stack     string
}

// Error names the goroutine and the value it panicked with.
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

// New makes a group whose context ends with ctx, at Cancel, or with the first error of a member.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, cancel: cancel, group: group}
}

// Context is the one that every member receives.
func (g *Group) Context() context.Context { return g.ctx }

// Running counts the members that have not returned.
func (g *Group) Running() int64 { return g.running.Load() }

// Go starts fn as the goroutine name.
func (g *Group) Go(name string, fn func(ctx context.Context) error) {
	g.running.Add(1)
	g.group.Go(func() (err error) {
		defer g.running.Add(-1)
		// A panic in one goroutine would take the process and every request in
		// flight with it, with no word of where; as an error it stops the group
		// the ordinary way, so requests drain and the log names the goroutine.
		defer func() {
			if value := recover(); value != nil {
				err = &PanicError{Goroutine: name, Value: value, Stack: string(debug.Stack())}
			}
		}()
		return fn(g.ctx)
	})
}

// Cancel ends the group's context.
func (g *Group) Cancel() { g.cancel() }

// Wait returns the first error once every member has returned.
func (g *Group) Wait() error {
	defer g.cancel()
	return g.group.Wait()
}
