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
	stands  func() bool
	timer   *bftimer.Service
	logger  *bflog.Logger
	calls   *bfmetric.Counter
	healthy atomic.Bool
	// read says that the table was read once; only Run uses it.
	read bool
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
	// It is not asked before the table was read once.
	Due func() bool
	// Stands reports whether others follow the table for this node, nil for never: then
	// it asks a store that does not answer more rarely.
	Stands  func() bool
	Timer   *bftimer.Service
	Logger  *bflog.Logger
	Metrics *bfmetric.Registry
}

// New makes a follower; Run follows.
func New(parts Parts) *Follower {
	return &Follower{
		table: parts.Table, rows: parts.Rows, apply: parts.Apply, gather: parts.Gather, due: parts.Due, stands: parts.Stands, timer: parts.Timer, logger: parts.Logger,
		calls: parts.Metrics.Counter("store_reads_" + parts.Table),
	}
}

// Healthy reports whether the store answered the last call.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

const (
	// firstWait and lastWait are how long the store holds a call without news; each
	// call without news waits waitGrowth times as long as the one before. A store that falls silent forgets the calls that
	// come meanwhile, on connections that live: changes are missed until the call is
	// given up. Most come soon after another one, when the wait is short; one of the
	// long ones costs a call for every table and node.
	firstWait  = 3 * time.Second
	waitGrowth = 5
	lastWait   = 15 * time.Second
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
	// standingPause is the pause after a failed call of a node that has others to follow
	// the table for it. They ask every second and tell it; its own calls find a store that
	// turns those away alone, and one such call in the domain within a fifth of a second
	// is enough for that. A day of 85 nodes whose store refused for eight seconds had 2,305
	// calls while those nodes tried again as often as the readers, and 1,668 since.
	standingPause = 4 * time.Second
	// idlePause is how often a node that does not follow looks whether it is to.
	idlePause = 100 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	start := position{}
	at := start
	pause, wait := firstPause, firstWait
	for ctx.Err() == nil {
		if f.due != nil && f.read && !f.due() {
			// What changes meanwhile others tell; the table is listed anew afterwards.
			at = start
			if f.timer.Wait(ctx, idlePause) != nil {
				return nil
			}
			continue
		}
		next, news, err := f.step(ctx, at, f.timer.Jittered(wait, waitShare)())
		if ctx.Err() != nil {
			return nil
		}
		f.note(err)
		at = next
		if err != nil {
			if f.timer.Wait(ctx, f.timer.Jittered(f.retryPause(pause), pauseShare)()) != nil {
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

// retryPause is the pause after a failed call, where a node that follows for itself makes
// one of pause.
func (f *Follower) retryPause(pause time.Duration) time.Duration {
	if f.stands != nil && f.stands() {
		return standingPause
	}
	return pause
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
		f.read = true
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

// note logs the loss and the return of the store.
func (f *Follower) note(err error) {
	was := f.healthy.Swap(err == nil)
	switch {
	case err != nil && was:
		f.logger.Emit(bflog.StoreLost, slog.String("table", f.table), bflog.Err(err))
	case err == nil && !was:
		f.logger.Emit(bflog.StoreRegained, slog.String("table", f.table))
	}
}
