package bfcommand

import (
	"context"
	"sync"

	"bilberryflow.org/lib/bfguard"
)

// teller tells the fleet what the target beside this node does.
//
// A target that was silent for a moment changes its state twice within a
// millisecond. Told each by its own goroutine, the older state could arrive
// last and would stand until the next change: the fleet held a working target
// silent for good. So whoever tells reads the state as it is then, one after
// another, and the last one told is the last one there was.
type teller struct {
	mu     sync.Mutex
	status func() bfguard.Status
	tell   func(ctx context.Context, status bfguard.Status) error
}

// run tells the present state; it is called, on any goroutine, after each change.
func (t *teller) run(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tell(ctx, t.status())
}
