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

// gatherWindow is how long the first write of a batch waits for others. It is short
// compared to the 4 s within which a new target must get its first request.
const gatherWindow = 300 * time.Millisecond

// maxPending is the maximum number of pending writes, ten calls. Beyond it, as when
// thousands of nodes start at once, nodes write their rows themselves.
const maxPending = 10 * bfstore.MaxWrites

// Config holds the dependencies of a Batcher.
type Config struct {
	Table  string
	Rows   bfstore.TableStore
	Timer  *bftimer.Service
	Logger *bflog.Logger
	// Spawn starts a goroutine that the node waits for on shutdown.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Batcher combines concurrent writes to a table into batches.
type Batcher struct {
	config Config

	mu      sync.Mutex
	waiting []*pending
	// running is set while a goroutine collects or writes batches.
	running bool
}

// pending is a write that awaits its result.
type pending struct {
	write bfstore.RowWrite
	done  chan result
}

type result struct {
	revision bfstore.Revision
	err      error
}

// New returns a batcher.
func New(config Config) *Batcher { return &Batcher{config: config} }

// BatchError reports a write that failed as part of a batch; the caller should write the
// row itself. A write that a Batcher failed had no effect, one of a Remote may have had.
type BatchError struct{ Reason error }

// Error gives the reason.
func (e *BatchError) Error() string { return "batched write failed: " + e.Reason.Error() }

// Unwrap is the reason.
func (e *BatchError) Unwrap() error { return e.Reason }

// Write adds the write to a batch and returns the row's new revision. Its errors are
// BatchError, those of the store, and ctx's.
func (b *Batcher) Write(ctx context.Context, write bfstore.RowWrite) (bfstore.Revision, error) {
	p := &pending{write: write, done: make(chan result, 1)}
	if !b.add(p) {
		return 0, &BatchError{Reason: &bfstore.UnavailableError{Reason: "too many pending writes"}}
	}
	select {
	case r := <-p.done:
		return r.revision, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// add queues the write and reports false if too many are pending.
func (b *Batcher) add(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= maxPending {
		return false
	}
	b.waiting = append(b.waiting, p)
	if !b.running {
		b.running = true
		b.config.Spawn("write batches", b.run)
	}
	return true
}

// run writes batches until no write is pending.
func (b *Batcher) run(ctx context.Context) error {
	for {
		if err := b.config.Timer.Wait(ctx, gatherWindow); err != nil {
			return nil
		}
		batch := b.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		b.commit(ctx, batch)
	}
}

// nextBatch removes the next batch from the pending writes, with at most one write per
// row. Identical writes are merged, since many nodes detect the loss of a machine
// at once. If no write is pending, running is reset.
func (b *Batcher) nextBatch() (batch []*mergedWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rest []*pending
	for _, p := range b.waiting {
		at := slices.IndexFunc(batch, func(s *mergedWrite) bool { return s.write.Key == p.write.Key })
		switch {
		case at < 0 && len(batch) < bfstore.MaxWrites:
			batch = append(batch, &mergedWrite{p.write, []*pending{p}})
		case at >= 0 && batch[at].matches(p.write):
			batch[at].waiting = append(batch[at].waiting, p)
		default:
			rest = append(rest, p)
		}
	}
	b.waiting = rest
	b.running = len(batch) > 0
	return batch
}

// mergedWrite is one write of a batch with all its callers.
type mergedWrite struct {
	write   bfstore.RowWrite
	waiting []*pending
}

func (m *mergedWrite) matches(w bfstore.RowWrite) bool {
	return m.write.Remove == w.Remove && m.write.Revision == w.Revision && bytes.Equal(m.write.Value, w.Value)
}

// commit writes a batch and sends the result to all its callers.
//
// The store rejects the whole batch if one row has a conflict, as when two nodes write one row at
// once. The callers then write their rows themselves.
func (b *Batcher) commit(ctx context.Context, batch []*mergedWrite) {
	var writes []bfstore.RowWrite
	for _, s := range batch {
		writes = append(writes, s.write)
	}
	revision, err := b.config.Rows.Write(ctx, b.config.Table, writes...)
	if err != nil {
		b.config.Logger.Emit(bflog.BatchFailed, slog.Int("rows", len(batch)), bflog.Err(err))
	}
	var conflict *bfstore.ConflictError
	if len(batch) > 1 && errors.As(err, &conflict) {
		err = &BatchError{Reason: err}
	}
	for _, s := range batch {
		for _, p := range s.waiting {
			p.done <- result{revision, err}
		}
	}
}
