package bfbatch

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// gather is how long the first write of a batch waits for others. Nodes that start
// together have their rows due within a second and a half, and a new target is due its
// first work within four seconds.
const gather = 300 * time.Millisecond

// mostWaiting is how many writes are gathered at most: ten calls. Where a whole fleet of
// thousands starts, its nodes write on their own and no node holds the rows of all.
const mostWaiting = 10 * bfstore.MaxWrites

// Parts is what a Batcher works with.
type Parts struct {
	Table  string
	Rows   bfstore.Rows
	Timer  *bftimer.Service
	Logger *bflog.Logger
	// Spawn starts a goroutine of the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Batcher gathers writes to a table and makes them together.
type Batcher struct {
	parts Parts

	mu      sync.Mutex
	waiting []*pending
	// gathering says that a goroutine is about to make what waits.
	gathering bool
}

// pending is a write that waits; its result is sent once.
type pending struct {
	write bfstore.RowWrite
	done  chan result
}

type result struct {
	revision uint64
	err      error
}

// New makes a batcher.
func New(parts Parts) *Batcher { return &Batcher{parts: parts} }

// NotMadeError reports a write that certainly had no effect, since another one of its
// batch had none. Alone it may be made.
type NotMadeError struct{ Reason error }

// Error gives the reason.
func (e *NotMadeError) Error() string { return "not written with others: " + e.Reason.Error() }

// Unwrap is the reason.
func (e *NotMadeError) Unwrap() error { return e.Reason }

// Write makes a write together with others, and returns the revision that the row then
// has. Its errors are NotMadeError, those of the store, and ctx's.
func (b *Batcher) Write(ctx context.Context, write bfstore.RowWrite) (uint64, error) {
	p := &pending{write: write, done: make(chan result, 1)}
	if !b.add(p) {
		return 0, &NotMadeError{Reason: &bfstore.UnavailableError{Reason: "too many writes wait"}}
	}
	select {
	case r := <-p.done:
		return r.revision, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// add has a write gathered, unless too many wait.
func (b *Batcher) add(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= mostWaiting {
		return false
	}
	b.waiting = append(b.waiting, p)
	if !b.gathering {
		b.gathering = true
		b.parts.Spawn("write a batch", b.run)
	}
	return true
}

// run makes what has been gathered, until nothing waits.
func (b *Batcher) run(ctx context.Context) error {
	for {
		if err := b.parts.Timer.Wait(ctx, gather); err != nil {
			return nil
		}
		batch := b.take()
		if len(batch) == 0 {
			return nil
		}
		b.commit(ctx, batch)
	}
}

// take gives the next batch: one write a row, as many as one call takes. Those that want
// the same of a row share one write: many nodes find at once that a machine is gone. Where
// nothing waits the gathering ends.
func (b *Batcher) take() (batch []*shared) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left []*pending
	for _, p := range b.waiting {
		at := slices.IndexFunc(batch, func(s *shared) bool { return s.write.Key == p.write.Key })
		switch {
		case at < 0 && len(batch) < bfstore.MaxWrites:
			batch = append(batch, &shared{p.write, []*pending{p}})
		case at >= 0 && batch[at].wants(p.write):
			batch[at].waiting = append(batch[at].waiting, p)
		default:
			left = append(left, p)
		}
	}
	b.waiting = left
	b.gathering = len(batch) > 0
	return batch
}

// shared is one write of a batch and those that wait for it.
type shared struct {
	write   bfstore.RowWrite
	waiting []*pending
}

func (s *shared) wants(w bfstore.RowWrite) bool {
	return s.write.Remove == w.Remove && s.write.Revision == w.Revision && bytes.Equal(s.write.Value, w.Value)
}

// commit makes a batch and tells all that wait for it.
//
// One row that is not as its write expects has the store make none of them. The others
// are then told to write on their own: that happens where a row was written by two
// nodes at once.
func (b *Batcher) commit(ctx context.Context, batch []*shared) {
	var writes []bfstore.RowWrite
	for _, s := range batch {
		writes = append(writes, s.write)
	}
	revision, err := b.parts.Rows.Write(ctx, b.parts.Table, writes...)
	if err != nil {
		b.parts.Logger.Emit(bflog.BatchNotMade, slog.Int("rows", len(batch)), bflog.Err(err))
	}
	var conflict *bfstore.ConflictError
	if len(batch) > 1 && errors.As(err, &conflict) {
		err = &NotMadeError{Reason: err}
	}
	for _, s := range batch {
		for _, p := range s.waiting {
			p.done <- result{revision, err}
		}
	}
}
