package bffollow

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Batch is news of a table.
type Batch struct {
	// Whole says that Entries are the whole table and not just what changed.
	Whole   bool
	Entries []bfstore.Entry
	// Revision is the store's as of which the batch is known.
	Revision uint64
}

// Follower follows one table.
type Follower struct {
	table   string
	rows    bfstore.Rows
	apply   func(Batch)
	gather  time.Duration
	due     func() bool
	held    func() uint64
	timer   *bftimer.Service
	logger  *bflog.Logger
	calls   *bfmetric.Counter
	healthy atomic.Bool
	// following says that the node follows the table itself and that its last call was
	// answered.
	following atomic.Bool
	// revision is that as of which the node itself read the table last.
	revision atomic.Uint64
	// wake ends a pause of a node that does not follow.
	wake chan struct{}
}

// Parts is what a Follower works with.
type Parts struct {
	Table string
	Rows  bfstore.Rows
	Apply func(Batch)
	// Gather is the pause after news, in which further changes come together: a
	// change a fifth of a second would else cost a call each.
	Gather time.Duration
	// Due reports whether this node is to follow the table itself, nil for always.
	Due func() bool
	// Held gives the revision as of which the table is known by the word of others, 0 for
	// never; nil where nobody tells. What changed since is read, and not the whole table.
	Held    func() uint64
	Timer   *bftimer.Service
	Logger  *bflog.Logger
	Metrics *bfmetric.Registry
}

// New makes a follower; Run follows.
func New(parts Parts) *Follower {
	return &Follower{
		table: parts.Table, rows: parts.Rows, apply: parts.Apply, gather: parts.Gather, due: parts.Due, held: parts.Held, timer: parts.Timer, logger: parts.Logger,
		calls: parts.Metrics.Counter("store_reads_" + parts.Table), wake: make(chan struct{}, 1),
	}
}

// Healthy reports whether the store answered the last call.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

// Revision is that of the store as of which the node itself read the table last, 0 before.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

// Follows reports whether the node's own calls follow the table now.
func (f *Follower) Follows() bool { return f.following.Load() }

const (
	// firstWait and lastWait are how long the store holds a call without news; each
	// call without news waits waitGrowth times as long as the one before. A store that
	// falls silent forgets the calls that come meanwhile, on connections that live:
	// changes are missed until the call is given up. Two nodes of a fleet read, so that
	// both may be forgotten, and their calls in the calm cost next to nothing.
	firstWait  = 3 * time.Second
	waitGrowth = 2
	lastWait   = 5 * time.Second
	// returnWait is the wait of calls that follow a failed one. A store that is back
	// answers it at once, one that is still silent costs no more than this.
	returnWait = 500 * time.Millisecond
	// waitShare spreads the waits: nodes that all renewed their calls at one moment
	// would all lose them in the same silence, and could not tell each other.
	waitShare = 0.3
	// firstPause and lastPause bound the pause after a failed call: refused calls
	// are paid for too, and a store that returns is to be noticed in a second.
	firstPause = 150 * time.Millisecond
	lastPause  = time.Second
	pauseShare = 0.3
	// idlePause is how often a node that does not follow looks whether it is to.
	idlePause = 100 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	at := position{}
	pause, wait := firstPause, firstWait
	for ctx.Err() == nil {
		if f.due != nil && !f.due() {
			// What changes meanwhile others tell.
			f.following.Store(false)
			at = f.resumed(at)
			f.idle(ctx)
			continue
		}
		next, news, err := f.step(ctx, at, f.timer.Jittered(wait, waitShare)())
		if ctx.Err() != nil {
			return nil
		}
		f.note(err)
		at = next
		if at.listed {
			f.revision.Store(at.after)
		}
		if err != nil {
			if f.timer.Wait(ctx, f.timer.Jittered(pause, pauseShare)()) != nil {
				return nil
			}
			pause, wait = min(2*pause, lastPause), returnWait
			continue
		}
		pause, wait = firstPause, min(waitGrowth*wait, lastWait)
		if news {
			wait = firstWait
		}
		if news && f.timer.Wait(ctx, f.gather) != nil {
			return nil
		}
	}
	return nil
}

// Wake has a node that does not follow look at once whether it is to.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// idle waits until it is time to look again.
func (f *Follower) idle(ctx context.Context) {
	waited, cancel := context.WithTimeout(ctx, idlePause)
	defer cancel()
	select {
	case <-f.wake:
	case <-waited.Done():
	}
}

// position is how far a table has been read.
type position struct {
	listed bool
	after  uint64
}

// step makes one call, held for a time at most; news says that something changed.
func (f *Follower) step(ctx context.Context, at position, wait time.Duration) (position, bool, error) {
	f.calls.Add(1)
	if !at.listed {
		entries, revision, err := f.rows.List(ctx, f.table)
		if err != nil {
			return at, false, err
		}
		f.logger.Emit(bflog.StoreListed, slog.String("table", f.table), slog.Int("rows", len(entries)), slog.Uint64("revision", revision))
		f.apply(Batch{Whole: true, Entries: entries, Revision: revision})
		return position{listed: true, after: revision}, false, nil
	}
	entries, revision, err := f.rows.Changes(ctx, f.table, at.after, wait)
	var dropped *bfstore.HistoryError
	switch {
	case errors.As(err, &dropped):
		return position{}, false, nil
	case err != nil:
		return at, false, err
	}
	if len(entries) > 0 {
		f.apply(Batch{Entries: entries, Revision: revision})
	}
	return position{listed: true, after: max(revision, at.after)}, len(entries) > 0, nil
}

// resumed is from where the table is read on, by what was read itself and by the word of
// others. The store says if it does not remember that far back.
func (f *Follower) resumed(at position) position {
	if f.held == nil {
		return at
	}
	after := max(at.after, f.held())
	return position{listed: after > 0, after: after}
}

// note logs the loss and the return of the store.
func (f *Follower) note(err error) {
	f.following.Store(err == nil)
	was := f.healthy.Swap(err == nil)
	switch {
	case err != nil && was:
		f.logger.Emit(bflog.StoreLost, slog.String("table", f.table), bflog.Err(err))
	case err == nil && !was:
		f.logger.Emit(bflog.StoreRegained, slog.String("table", f.table))
	}
}
