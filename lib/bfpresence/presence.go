package bfpresence

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Config holds the dependencies of a Presence.
type Config struct {
	Table string
	Key   string
	Rows  bfstore.TableStore
	// WriteBatched writes the row in a batch with rows of other nodes. If it is nil or returns
	// an error other than ConflictError, the node writes the row directly.
	WriteBatched func(ctx context.Context, write bfstore.RowWrite) (bfstore.Revision, error)
	Timer        *bftimer.Service
	Logger       *bflog.Logger
	Metrics      *bfmetric.Registry
}

// Presence reconciles one row with its desired value.
type Presence struct {
	config Config
	writes *bfmetric.Counter
	wake   chan struct{}

	mu sync.Mutex
	// hasDesired is set once SetDesired was called; a nil desired means that the row should not
	// exist.
	hasDesired bool
	desired    []byte
	// hasObserved is set once the row was read from the table; observed is its last known
	// state.
	hasObserved bool
	observed    bfstore.Entry
	// existed is set once the row was seen in the table.
	existed bool
}

// New returns a presence that does not write the row before SetDesired and Observe are called.
func New(config Config) *Presence {
	return &Presence{
		config: config, wake: make(chan struct{}, 1),
		writes: config.Metrics.Counter("store_writes_" + config.Table),
	}
}

// SetDesired sets the desired value of the row; nil removes it.
func (p *Presence) SetDesired(value []byte) {
	p.mu.Lock()
	p.hasDesired, p.desired = true, value
	p.mu.Unlock()
	p.notify()
}

// Observe receives the row's state in the table; Removed is set if it does not exist.
func (p *Presence) Observe(entry bfstore.Entry) {
	p.mu.Lock()
	stale := p.hasObserved && entry.Revision < p.observed.Revision
	if !stale {
		p.setObserved(entry)
	}
	p.mu.Unlock()
	p.notify()
}

func (p *Presence) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

const (
	// minBackoff and maxBackoff bound the pause after a failed write. A row must be written
	// within two seconds of the store's recovery.
	minBackoff    = 150 * time.Millisecond
	maxBackoff    = time.Second
	backoffJitter = 0.3
)

// Run writes the row whenever it differs from its desired value, until ctx ends.
func (p *Presence) Run(ctx context.Context) error {
	backoff := minBackoff
	for {
		err := p.reconcile(ctx)
		switch {
		case err == nil:
			backoff = minBackoff
			select {
			case <-p.wake:
			case <-ctx.Done():
				return nil
			}
			continue
		case ctx.Err() != nil:
			return nil
		}
		p.config.Logger.Emit(bflog.AnnounceError, bflog.Err(err))
		if p.config.Timer.Wait(ctx, p.config.Timer.Jittered(backoff, backoffJitter)()) != nil {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// InSync reports whether no write of the row is pending.
func (p *Presence) InSync() bool {
	_, _, pending := p.pendingWrite()
	return !pending
}

// pendingWrite returns the desired value and the last known state of the row; pending is set if
// they differ.
func (p *Presence) pendingWrite() (desired []byte, observed bfstore.Entry, pending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasDesired || !p.hasObserved {
		return nil, bfstore.Entry{}, false
	}
	if p.desired == nil {
		return nil, p.observed, !p.observed.Removed
	}
	return p.desired, p.observed, p.observed.Removed || !bytes.Equal(p.observed.Value, p.desired)
}

func (p *Presence) reconcile(ctx context.Context) error {
	desired, observed, pending := p.pendingWrite()
	if !pending {
		return nil
	}
	written, err := p.write(ctx, desired, observed)
	var conflict *bfstore.ConflictError
	if errors.As(err, &conflict) {
		// The row has changed in the meantime; the table's follower will report its new state.
		return nil
	}
	if err != nil {
		return err
	}
	p.config.Logger.Emit(bflog.Announced, slog.Bool("present", desired != nil), slog.String("revision", written.Revision.String()))
	p.mu.Lock()
	defer p.mu.Unlock()
	if written.Revision >= p.observed.Revision {
		p.setObserved(written)
	}
	return nil
}

// setObserved sets the last known state of the row. The caller must hold mu.
func (p *Presence) setObserved(entry bfstore.Entry) {
	p.hasObserved, p.observed = true, entry
	p.existed = p.existed || !entry.Removed
}

// Withdrawn reports whether the row existed and was removed as desired: the other nodes no longer
// count this node as a member.
func (p *Presence) Withdrawn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.existed && p.hasDesired && p.desired == nil && p.observed.Removed
}

// write conditionally writes or removes the row.
func (p *Presence) write(ctx context.Context, desired []byte, observed bfstore.Entry) (bfstore.Entry, error) {
	write := bfstore.RowWrite{Key: p.config.Key, Value: desired, Remove: desired == nil, Revision: observed.Revision}
	if observed.Removed {
		write.Revision = 0
	}
	revision, err := p.commit(ctx, write)
	return bfstore.Entry{Key: write.Key, Value: desired, Revision: revision, Removed: write.Remove}, err
}

// commit makes the write in a batch, or directly if that fails. If the batching node made the
// write but its reply was lost, the direct write fails with a conflict, and the table's
// follower reports the row.
func (p *Presence) commit(ctx context.Context, write bfstore.RowWrite) (bfstore.Revision, error) {
	if p.config.WriteBatched != nil {
		revision, err := p.config.WriteBatched(ctx, write)
		var conflict *bfstore.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return revision, err
		}
		p.config.Logger.Emit(bflog.RowWrittenIndividually, bflog.Err(err))
	}
	p.writes.Add(1)
	return p.config.Rows.Write(ctx, p.config.Table, write)
}
