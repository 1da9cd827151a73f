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

// Parts is what a Presence works with.
type Parts struct {
	Table string
	Key   string
	Rows  bfstore.Rows
	// Together writes the row together with those of other nodes; nil, or an error other
	// than ConflictError, has the node write it alone.
	Together func(ctx context.Context, write bfstore.RowWrite) (uint64, error)
	Timer    *bftimer.Service
	Logger   *bflog.Logger
	Metrics  *bfmetric.Registry
}

// Presence keeps one row true.
type Presence struct {
	parts  Parts
	writes *bfmetric.Counter
	wake   chan struct{}

	mu sync.Mutex
	// decided says that it is known what the row should be.
	decided bool
	want    []byte
	// seen says that the table was read, and have what it held.
	seen bool
	have bfstore.Entry
}

// New makes a presence that leaves the row alone until Want.
func New(parts Parts) *Presence {
	return &Presence{
		parts: parts, wake: make(chan struct{}, 1),
		writes: parts.Metrics.Counter("store_writes_" + parts.Table),
	}
}

// Want sets what the row should hold; nil has it removed.
func (p *Presence) Want(value []byte) {
	p.mu.Lock()
	p.decided, p.want = true, value
	p.mu.Unlock()
	p.poke()
}

// Seen takes what the table holds for the row; Removed where it holds nothing.
func (p *Presence) Seen(entry bfstore.Entry) {
	p.mu.Lock()
	stale := p.seen && entry.Revision < p.have.Revision
	if !stale {
		p.seen, p.have = true, entry
	}
	p.mu.Unlock()
	p.poke()
}

func (p *Presence) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

const (
	// firstPause and lastPause bound the pause after a failed write. Entries are
	// due within two seconds of the store's return.
	firstPause = 150 * time.Millisecond
	lastPause  = time.Second
	pauseShare = 0.3
)

// Run writes the row whenever it is not what it should be, until ctx ends.
func (p *Presence) Run(ctx context.Context) error {
	pause := firstPause
	for {
		err := p.settle(ctx)
		switch {
		case err == nil:
			pause = firstPause
			select {
			case <-p.wake:
			case <-ctx.Done():
				return nil
			}
			continue
		case ctx.Err() != nil:
			return nil
		}
		p.parts.Logger.Emit(bflog.AnnounceError, bflog.Err(err))
		if p.parts.Timer.Wait(ctx, p.parts.Timer.Jittered(pause, pauseShare)()) != nil {
			return nil
		}
		pause = min(2*pause, lastPause)
	}
}

// Settled reports whether the row is what it should be.
func (p *Presence) Settled() bool {
	_, _, due := p.due()
	return !due
}

// due is the write that is to be made, if one is.
func (p *Presence) due() (want []byte, have bfstore.Entry, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.decided || !p.seen {
		return nil, bfstore.Entry{}, false
	}
	if p.want == nil {
		return nil, p.have, !p.have.Removed
	}
	return p.want, p.have, p.have.Removed || !bytes.Equal(p.have.Value, p.want)
}

func (p *Presence) settle(ctx context.Context) error {
	want, have, due := p.due()
	if !due {
		return nil
	}
	written, err := p.write(ctx, want, have)
	var conflict *bfstore.ConflictError
	if errors.As(err, &conflict) {
		// The row is another one by now; the table's follower brings it.
		return nil
	}
	if err != nil {
		return err
	}
	p.parts.Logger.Emit(bflog.Announced, slog.Bool("present", want != nil), slog.Uint64("revision", written.Revision))
	p.mu.Lock()
	defer p.mu.Unlock()
	if written.Revision >= p.have.Revision {
		p.have = written
	}
	return nil
}

// write makes the row what it should be.
func (p *Presence) write(ctx context.Context, want []byte, have bfstore.Entry) (bfstore.Entry, error) {
	write := bfstore.RowWrite{Key: p.parts.Key, Value: want, Remove: want == nil, Revision: have.Revision}
	if have.Removed {
		write.Revision = 0
	}
	revision, err := p.commit(ctx, write)
	return bfstore.Entry{Key: write.Key, Value: want, Revision: revision, Removed: write.Remove}, err
}

// commit makes the write with others, or alone where that fails. The node that gathers
// may have made it and its answer was lost: then the write alone is a conflict, and the
// follower of the table brings what is there.
func (p *Presence) commit(ctx context.Context, write bfstore.RowWrite) (uint64, error) {
	if p.parts.Together != nil {
		revision, err := p.parts.Together(ctx, write)
		var conflict *bfstore.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return revision, err
		}
		p.parts.Logger.Emit(bflog.RowAlone, bflog.Err(err))
	}
	p.writes.Add(1)
	return p.parts.Rows.Write(ctx, p.parts.Table, write)
}
