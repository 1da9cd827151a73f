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

// Batch holds rows read from a table.
type Batch struct {
	// Full states that Entries are the full table and not only the changed rows.
	Full    bool
	Entries []bfstore.Entry
	// Revision is the store revision at which the rows were read.
	Revision bfstore.Revision
}

// Follower follows one table.
type Follower struct {
	table         string
	rows          bfstore.TableStore
	apply         func(Batch)
	batchDelay    time.Duration
	maxWait       time.Duration
	answerMargin  time.Duration
	changed       func()
	shouldFollow  func() bool
	knownRevision func() bfstore.Revision
	timer         *bftimer.Service
	logger        *bflog.Logger
	calls         *bfmetric.Counter
	prover        *prover // nil where reads prove nothing
	healthy       atomic.Bool
	// following is set while the node follows the table itself and its last call succeeded.
	following atomic.Bool
	// latency is the time that the last answer took beyond its call's wait; only Run uses it.
	latency time.Duration
	// revision is the store revision of the node's own last read.
	revision atomic.Uint64 // a bfstore.Revision
	// wake ends the idle pause of a node that does not follow the table.
	wake chan struct{}
}

// Config holds the dependencies of a Follower.
type Config struct {
	Table string
	Rows  bfstore.TableStore
	// Apply is called by Run with each batch that was read.
	Apply func(Batch)
	// BatchDelay is the pause after a change, in which further changes are batched to save
	// calls.
	BatchDelay time.Duration
	// MaxWait bounds how long the store may hold a call until a change arrives; 0 for a bound
	// that suits a table whose changes may arrive seconds late.
	MaxWait time.Duration
	// AnswerMargin is how long after its wait a call may remain unanswered, beside twice the
	// store's usual time, until the node no longer counts as following; 0 for the limit of Rows.
	AnswerMargin time.Duration
	// Changed is called by Run when Follows changes; nil for none.
	Changed func()
	// ShouldFollow reports whether this node should follow the table itself; nil for always.
	ShouldFollow func() bool
	// KnownRevision returns the store revision of the rows received from other nodes, 0 for
	// none; nil if no other node sends them. The follower then reads the changes since that
	// revision instead of the full table.
	KnownRevision func() bfstore.Revision
	// Proved is called by Run with each read whose rows were applied, also if nothing changed. The
	// full table is then read after each wait for changes. nil for none.
	Proved func(Read)
	// NeedsProof reports whether a full read for a proof is worth its call; nil for always.
	NeedsProof func() bool
	// Clock returns the moments of reads; used only with Proved.
	Clock   func() time.Duration
	Timer   *bftimer.Service
	Logger  *bflog.Logger
	Metrics *bfmetric.Registry
}

// New returns a follower, which Run starts.
func New(config Config) *Follower {
	if config.MaxWait == 0 {
		config.MaxWait = maxWait
	}
	if config.Changed == nil {
		config.Changed = func() {}
	}
	return &Follower{
		prover:  newProver(config),
		maxWait: config.MaxWait, answerMargin: config.AnswerMargin, changed: config.Changed,
		table: config.Table, rows: config.Rows, apply: config.Apply, batchDelay: config.BatchDelay, shouldFollow: config.ShouldFollow, knownRevision: config.KnownRevision, timer: config.Timer, logger: config.Logger,
		calls: config.Metrics.Counter("store_reads_" + config.Table), wake: make(chan struct{}, 1),
	}
}

// Healthy reports whether the last call to the store succeeded.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

// Revision returns the store revision of the node's own last read, 0 before the first.
func (f *Follower) Revision() bfstore.Revision { return bfstore.Revision(f.revision.Load()) }

// Follows reports whether the node's own calls follow the table now.
func (f *Follower) Follows() bool { return f.following.Load() }

const (
	// minWait and maxWait bound how long the store may hold a call until a change arrives; each
	// call without one waits waitGrowth times as long as the one before. The bound matters
	// because a stalled store can drop pending calls while their connections stay open: changes
	// are then missed until the call times out.
	minWait    = 3 * time.Second
	waitGrowth = 2
	maxWait    = 5 * time.Second
	// retryWait is the wait of calls that follow a failed one. A store that has recovered
	// answers it at once, and one that is still stalled delays the node no longer than this.
	retryWait = 500 * time.Millisecond
	// waitJitter desynchronizes the waits: nodes that renewed their calls at the same moment
	// would all lose them in the same stall, and none could update the others.
	waitJitter = 0.3
	// minBackoff and maxBackoff bound the pause after a failed call: failed calls cost money
	// too, and a recovery of the store must be detected within about a second.
	minBackoff    = 150 * time.Millisecond
	maxBackoff    = time.Second
	backoffJitter = 0.3
	// idleInterval is how often a node that does not follow the table checks whether it should.
	idleInterval = 100 * time.Millisecond
)

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	at := position{}
	firstWait := min(minWait, f.maxWait)
	backoff, wait := minBackoff, firstWait
	for ctx.Err() == nil {
		if f.shouldFollow != nil && !f.shouldFollow() {
			// Other nodes send the changes in the meantime.
			f.setFollowing(false)
			at = f.resume(at)
			f.prover.pause()
			f.idle(ctx)
			continue
		}
		next, changed, err := f.read(ctx, at, f.timer.Jittered(f.prover.bound(wait), waitJitter)())
		if ctx.Err() != nil {
			return nil
		}
		f.recordResult(err)
		at = next
		if at.listed {
			f.revision.Store(uint64(at.after))
		}
		if err != nil {
			f.prover.failed()
			if f.timer.Wait(ctx, f.timer.Jittered(backoff, backoffJitter)()) != nil {
				return nil
			}
			backoff, wait = min(2*backoff, maxBackoff), retryWait
			continue
		}
		backoff, wait = minBackoff, min(waitGrowth*wait, f.maxWait)
		if changed {
			wait = firstWait
		}
		if changed && f.timer.Wait(ctx, f.batchDelay) != nil {
			return nil
		}
	}
	return nil
}

// Wake makes a node that does not follow the table check at once whether it should.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// idle waits for Wake or the next check.
func (f *Follower) idle(ctx context.Context) {
	timeout, cancel := context.WithTimeout(ctx, idleInterval)
	defer cancel()
	select {
	case <-f.wake:
	case <-timeout.Done():
	}
}

// position is how far a table has been read.
type position struct {
	listed bool
	after  bfstore.Revision
}

// read makes one call: one that waits for changes, or one that proves that there are none.
func (f *Follower) read(ctx context.Context, at position, wait time.Duration) (position, bool, error) {
	if f.prover.isDue(at) {
		return f.prove(ctx, at)
	}
	return f.poll(ctx, at, wait)
}

// poll makes one call, which the store holds for at most wait; changed reports whether rows
// changed.
func (f *Follower) poll(ctx context.Context, at position, wait time.Duration) (position, bool, error) {
	f.calls.Add(1)
	start := f.prover.now()
	if !at.listed {
		entries, revision, err := f.rows.List(ctx, f.table)
		if err != nil {
			return at, false, err
		}
		f.logger.Emit(bflog.StoreListed, slog.String("table", f.table), slog.Int("rows", len(entries)), slog.String("revision", revision.String()))
		f.apply(Batch{Full: true, Entries: entries, Revision: revision})
		f.prover.listed(start, entries, revision)
		return position{listed: true, after: revision}, false, nil
	}
	limited, cancel := f.limit(ctx, wait)
	defer cancel()
	began := f.timer.Now()
	entries, revision, err := f.rows.Changes(limited, f.table, at.after, wait)
	if err == nil && len(entries) == 0 {
		f.latency = max(f.timer.Now().Sub(began)-wait, 0)
	}
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
	f.prover.fed(start, entries, revision)
	return position{listed: true, after: max(revision, at.after)}, len(entries) > 0, nil
}

// limit returns a context for a call that the store may hold for wait. A call that remains
// unanswered for longer is no evidence that the node follows the table: the store or the
// connection may have dropped it. After a failed call the limit is that of Rows, so that a store
// which has become slower is still read.
func (f *Follower) limit(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if f.answerMargin == 0 || !f.following.Load() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, wait+f.answerMargin+2*f.latency)
}

// resume returns the position from which to continue, from the node's own reads and the rows
// received from others. The store reports an error if it no longer has the changes since then.
func (f *Follower) resume(at position) position {
	if f.knownRevision == nil {
		return at
	}
	after := max(at.after, f.knownRevision())
	return position{listed: after > 0, after: after}
}

// recordResult updates the follower's health and logs when the store becomes unavailable or
// recovers.
func (f *Follower) recordResult(err error) {
	f.setFollowing(err == nil)
	wasHealthy := f.healthy.Swap(err == nil)
	switch {
	case err != nil && wasHealthy:
		f.logger.Emit(bflog.StoreLost, slog.String("table", f.table), bflog.Err(err))
	case err == nil && !wasHealthy:
		f.logger.Emit(bflog.StoreRegained, slog.String("table", f.table))
	}
}

func (f *Follower) setFollowing(following bool) {
	if f.following.Swap(following) != following {
		f.changed()
	}
}
