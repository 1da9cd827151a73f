package bfcommand

import (
	"context"
	"sync"

	"bilberryflow.org/lib/bfguard"
)

// targetPublisher publishes the state of this node's target to the fleet.
//
// The state can change twice within a millisecond. If each change were published by
// its own goroutine, the older state could arrive last and stand until the next
// change. So publications run one at a time, and each reads the state when it starts:
// the last one published is the current one.
type targetPublisher struct {
	mu      sync.Mutex
	status  func() bfguard.Status
	publish func(ctx context.Context, status bfguard.Status) error
}

// publishCurrent publishes the current state; it must be called after each change, on
// any goroutine.
func (t *targetPublisher) publishCurrent(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.publish(ctx, t.status())
}
