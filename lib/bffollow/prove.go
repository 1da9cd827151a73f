package bffollow

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
)

// Read is a successful call to the store whose rows were applied.
type Read struct {
	// Began is when the call began, by Config.Clock.
	Began time.Duration
	// Feed states that the call returned changes, and not the full table.
	Feed bool
	// Era is the era of the store.
	Era uint64
}

const (
	// maxProofBytes is the size of a table up to which it is read in full for a proof. Larger ones
	// would take too much of a link of 14 Mbit/s; they are proved by the change feed, whose answers
	// count as a second older, with waits of proofFeedWait.
	maxProofBytes = 256 << 10
	proofFeedWait = 250 * time.Millisecond
	// slowAnswer is the time that a full read takes from which the table is followed by full reads
	// alone, with pauses of slowPause: a wait for changes in between would take as long again.
	slowAnswer = 250 * time.Millisecond
	slowPause  = 300 * time.Millisecond
)

// prover decides when the full table is read only to prove that nothing changed. Changes alone prove
// less, because the store's feed may be silent for a second while changes are made. A nil prover
// proves nothing. Only Run uses it.
type prover struct {
	proved func(Read)
	needed func() bool
	clock  func() time.Duration
	reads  *bfmetric.Counter
	// due is set if the next call is a full read.
	due bool
	// seen holds the revisions of the rows that were applied, nil if other nodes have sent rows
	// since the last full read.
	seen map[string]bfstore.Revision
	// bytes is the size of the table in the last full read, latency how long that took.
	bytes   int
	latency time.Duration
}

func newProver(config Config) *prover {
	if config.Proved == nil {
		return nil
	}
	if config.NeedsProof == nil {
		config.NeedsProof = func() bool { return true }
	}
	return &prover{proved: config.Proved, needed: config.NeedsProof, clock: config.Clock, reads: config.Metrics.Counter("store_proof_reads_" + config.Table)}
}

// now returns the moment at which a call begins.
func (p *prover) now() time.Duration {
	if p == nil {
		return 0
	}
	return p.clock()
}

// pause ends a period in which the node follows the table.
func (p *prover) pause() {
	if p != nil {
		p.due, p.seen = true, nil
	}
}

// isDue reports whether the next call is a full read for a proof.
func (p *prover) isDue(at position) bool { return p != nil && p.due && at.listed && p.needed() }

// isSlow reports whether the store is slow and the table small enough for full reads alone.
func (p *prover) isSlow() bool { return p.bytes <= maxProofBytes && p.latency > slowAnswer }

// failed records a failed call. The next one is a full read: its proof is the younger one.
func (p *prover) failed() {
	if p != nil {
		p.due = p.bytes <= maxProofBytes
	}
}

// bound returns the wait of a call that waits for changes.
func (p *prover) bound(wait time.Duration) time.Duration {
	if p == nil || p.bytes <= maxProofBytes {
		return wait
	}
	return min(wait, proofFeedWait)
}

// listed records a full read that was applied.
func (p *prover) listed(began time.Duration, entries []bfstore.Entry, revision bfstore.Revision) {
	if p == nil {
		return
	}
	p.bytes, p.latency = 0, p.clock()-began
	p.seen = make(map[string]bfstore.Revision, len(entries))
	for _, e := range entries {
		p.seen[e.Key] = e.Revision
		p.bytes += len(e.Value)
	}
	p.due = p.isSlow()
	p.proved(Read{Began: began, Era: revision.Era()})
}

// fed records changes that were applied.
func (p *prover) fed(began time.Duration, entries []bfstore.Entry, revision bfstore.Revision) {
	if p == nil {
		return
	}
	p.due = p.bytes <= maxProofBytes
	for _, e := range entries {
		if p.seen != nil {
			p.seen[e.Key] = e.Revision
		}
	}
	p.proved(Read{Began: began, Feed: true, Era: revision.Era()})
}

// changed returns the rows of a full read that were not applied yet.
func (p *prover) changed(entries []bfstore.Entry) (all []bfstore.Entry) {
	for _, e := range entries {
		if p.seen[e.Key] != e.Revision {
			all = append(all, e)
		}
	}
	return all
}

// prove reads the full table and applies what the feed hasn't delivered.
func (f *Follower) prove(ctx context.Context, at position) (position, bool, error) {
	p := f.prover
	if p.isSlow() && f.timer.Wait(ctx, slowPause) != nil {
		return at, false, ctx.Err()
	}
	f.calls.Add(1)
	p.reads.Add(1)
	if f.answerMargin > 0 && f.following.Load() {
		// As for a call that waits for changes: one that stays unanswered must end soon.
		limited, cancel := context.WithTimeout(ctx, f.answerMargin+2*p.latency)
		defer cancel()
		ctx = limited
	}
	began := p.clock()
	entries, revision, err := f.rows.List(ctx, f.table)
	if err != nil {
		return at, false, err
	}
	var changed []bfstore.Entry
	if p.seen == nil || revision.Era() != at.after.Era() {
		f.apply(Batch{Full: true, Entries: entries, Revision: revision})
	} else if changed = p.changed(entries); len(changed) > 0 {
		f.apply(Batch{Entries: changed, Revision: revision})
	}
	p.listed(began, entries, revision)
	f.latency = max(f.latency, p.latency)
	if revision.Era() == at.after.Era() {
		revision = max(revision, at.after)
	}
	return position{listed: true, after: revision}, len(changed) > 0, nil
}
