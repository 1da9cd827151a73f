package bfclaim

import (
	"time"

	"bilberryflow.org/lib/bfstore"
)

// Batcher batches single-row commits into larger transactions.
//
// A batch is due when its oldest commit has waited for the window or when the
// maximum number of commits is pending. Owner identifies the state machine of a
// commit to the caller. A Batcher is not safe for concurrent use.
type Batcher[Owner any] struct {
	window     time.Duration
	maxCommits int
	pending    []pendingCommit[Owner]
}

type pendingCommit[Owner any] struct {
	owner  Owner
	commit Commit
	since  time.Time
}

// NewBatcher returns an empty Batcher with a batching window and a maximum number of commits per batch.
func NewBatcher[Owner any](window time.Duration, maxCommits int) *Batcher[Owner] {
	return &Batcher[Owner]{window: window, maxCommits: maxCommits}
}

// Add queues a commit of owner's state machine.
func (b *Batcher[Owner]) Add(now time.Time, owner Owner, commit Commit) {
	b.pending = append(b.pending, pendingCommit[Owner]{owner: owner, commit: commit, since: now})
}

// Len returns the number of pending commits.
func (b *Batcher[Owner]) Len() int { return len(b.pending) }

// Due returns when the next batch is due; ok is false if no commit is pending.
func (b *Batcher[Owner]) Due() (at time.Time, ok bool) {
	if len(b.pending) == 0 {
		return time.Time{}, false
	}
	if len(b.pending) >= b.maxCommits {
		return b.pending[0].since, true
	}
	return b.pending[0].since.Add(b.window), true
}

// Take removes and returns the next batch if it is due.
//
// A batch never has two commits on one row: the table checks all conditions
// before it writes, so both would pass and both claims be granted.
func (b *Batcher[Owner]) Take(now time.Time) (*Batch[Owner], bool) {
	if at, ok := b.Due(); !ok || now.Before(at) {
		return nil, false
	}
	var batch Batch[Owner]
	var rest []pendingCommit[Owner]
	taken := map[string]bool{}
	for _, p := range b.pending {
		if len(batch.commits) >= b.maxCommits || taken[p.commit.key] {
			rest = append(rest, p)
			continue
		}
		taken[p.commit.key] = true
		batch.commits = append(batch.commits, p)
	}
	b.pending = rest
	return &batch, true
}

// Batch is a set of commits on different rows, committed as one transaction.
type Batch[Owner any] struct {
	commits   []pendingCommit[Owner]
	conflicts int
}

// Len returns the number of commits in the batch.
func (b *Batch[Owner]) Len() int { return len(b.commits) }

// Transaction returns the combined transaction.
func (b *Batch[Owner]) Transaction() bfstore.Transaction {
	var tx bfstore.Transaction
	for _, p := range b.commits {
		tx.Conditions = append(tx.Conditions, p.commit.tx.Conditions...)
		tx.Writes = append(tx.Writes, p.commit.tx.Writes...)
	}
	return tx
}

// CommitResult is the result of one commit of a batch.
type CommitResult[Owner any] struct {
	owner Owner
	event CommitEnded
}

// Owner returns the owner that was passed to Batcher.Add.
func (r CommitResult[Owner]) Owner() Owner { return r.owner }

// Event returns the event to pass to the owner's state machine.
func (r CommitResult[Owner]) Event() CommitEnded { return r.event }

// maxConflicts is the number of conflicts after which the rest of a batch is
// committed row by row, so that it does not wait for one retry per conflict.
const maxConflicts = 2

// Complete takes the table's result for the batch, and returns the commits that ended and the batches to retry.
func (b *Batch[Owner]) Complete(err error) (ended []CommitResult[Owner], retries []*Batch[Owner]) {
	status, row, _ := classify(err)
	if status != commitConflicted {
		return b.completeAll(err), nil
	}
	var rest []pendingCommit[Owner]
	for _, p := range b.commits {
		if p.commit.key == row.Key {
			ended = append(ended, CommitResult[Owner]{owner: p.owner, event: CommitEnded{Err: err}})
			continue
		}
		rest = append(rest, p)
	}
	if len(ended) == 0 {
		// A conflict on a row outside the batch leaves the result of the batch's rows unknown.
		return b.completeAll(&bfstore.UnknownError{Reason: "conflict on row " + row.Key + ", which is not in the batch"}), nil
	}
	return ended, b.split(rest)
}

func (b *Batch[Owner]) completeAll(err error) []CommitResult[Owner] {
	ended := make([]CommitResult[Owner], 0, len(b.commits))
	for _, p := range b.commits {
		ended = append(ended, CommitResult[Owner]{owner: p.owner, event: CommitEnded{Err: err}})
	}
	return ended
}

func (b *Batch[Owner]) split(rest []pendingCommit[Owner]) []*Batch[Owner] {
	if len(rest) == 0 {
		return nil
	}
	if b.conflicts+1 < maxConflicts {
		return []*Batch[Owner]{{commits: rest, conflicts: b.conflicts + 1}}
	}
	batches := make([]*Batch[Owner], 0, len(rest))
	for _, p := range rest {
		batches = append(batches, &Batch[Owner]{commits: []pendingCommit[Owner]{p}})
	}
	return batches
}
