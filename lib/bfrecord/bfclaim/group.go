package bfclaim

import (
	"time"

	"bilberryflow.org/lib/bfstore"
)

// Group batches single-row commits into larger transactions.
//
// A batch is due when its oldest commit has waited for the window or when the
// maximum number of commits is pending. Owner identifies the state machine of a
// commit to the caller. A Group is not safe for concurrent use.
type Group[Owner any] struct {
	window     time.Duration
	maxCommits int
	pending    []pendingCommit[Owner]
}

type pendingCommit[Owner any] struct {
	owner  Owner
	commit Commit
	since  time.Time
}

// NewGroup returns an empty group with a batching window and a maximum number of commits per batch.
func NewGroup[Owner any](window time.Duration, count int) *Group[Owner] {
	return &Group[Owner]{window: window, maxCommits: count}
}

// Add queues a commit of owner's state machine.
func (g *Group[Owner]) Add(now time.Time, owner Owner, commit Commit) {
	g.pending = append(g.pending, pendingCommit[Owner]{owner: owner, commit: commit, since: now})
}

// Len returns the number of pending commits.
func (g *Group[Owner]) Len() int { return len(g.pending) }

// Due returns when the next batch is due; ok is false if no commit is pending.
func (g *Group[Owner]) Due() (at time.Time, ok bool) {
	if len(g.pending) == 0 {
		return time.Time{}, false
	}
	if len(g.pending) >= g.maxCommits {
		return g.pending[0].since, true
	}
	return g.pending[0].since.Add(g.window), true
}

// Take removes and returns the next batch if it is due.
//
// A batch never has two commits on one row: the table checks all conditions
// before it writes, so both would pass and both claims be granted.
func (g *Group[Owner]) Take(now time.Time) (*Batch[Owner], bool) {
	if at, ok := g.Due(); !ok || now.Before(at) {
		return nil, false
	}
	var batch Batch[Owner]
	var rest []pendingCommit[Owner]
	taken := map[string]bool{}
	for _, m := range g.pending {
		if len(batch.commits) >= g.maxCommits || taken[m.commit.key] {
			rest = append(rest, m)
			continue
		}
		taken[m.commit.key] = true
		batch.commits = append(batch.commits, m)
	}
	g.pending = rest
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
	for _, m := range b.commits {
		tx.Conditions = append(tx.Conditions, m.commit.tx.Conditions...)
		tx.Writes = append(tx.Writes, m.commit.tx.Writes...)
	}
	return tx
}

// Ended is the result of one commit of a batch.
type Ended[Owner any] struct {
	owner Owner
	event CommitEnded
}

// Owner returns the owner that was passed to Group.Add.
func (e Ended[Owner]) Owner() Owner { return e.owner }

// Event returns the event to pass to the owner's state machine.
func (e Ended[Owner]) Event() CommitEnded { return e.event }

// maxConflicts is the number of conflicts after which the rest of a batch is
// committed row by row, so that it does not wait for one retry per conflict.
const maxConflicts = 2

// End takes the table's result for the batch, and returns the commits that ended and the batches to retry.
func (b *Batch[Owner]) End(err error) (ended []Ended[Owner], retries []*Batch[Owner]) {
	end, row, _ := classify(err)
	if end != commitConflicted {
		return b.endAll(err), nil
	}
	var rest []pendingCommit[Owner]
	for _, m := range b.commits {
		if m.commit.key == row.Key {
			ended = append(ended, Ended[Owner]{owner: m.owner, event: CommitEnded{Err: err}})
			continue
		}
		rest = append(rest, m)
	}
	if len(ended) == 0 {
		// A conflict on a foreign row leaves the result of the batch's rows unknown.
		return b.endAll(&bfstore.UnknownError{Reason: "conflict on row " + row.Key + ", which is not in the batch"}), nil
	}
	return ended, b.split(rest)
}

func (b *Batch[Owner]) endAll(err error) []Ended[Owner] {
	ended := make([]Ended[Owner], 0, len(b.commits))
	for _, m := range b.commits {
		ended = append(ended, Ended[Owner]{owner: m.owner, event: CommitEnded{Err: err}})
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
	for _, m := range rest {
		batches = append(batches, &Batch[Owner]{commits: []pendingCommit[Owner]{m}})
	}
	return batches
}
