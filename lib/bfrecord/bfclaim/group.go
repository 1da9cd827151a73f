package bfclaim

import (
	"time"

	"bilberryflow.org/lib/bfstore"
)

// Group gathers commits on single rows into transactions of many.
//
// A batch leaves when its oldest commit has waited for the window or when it
// has count commits. Owner is what the caller finds its machine by. A Group is
// not safe for concurrent use.
type Group[Owner any] struct {
	window  time.Duration
	count   int
	pending []member[Owner]
}

type member[Owner any] struct {
	owner  Owner
	commit Commit
	since  time.Time
}

// NewGroup makes an empty group.
func NewGroup[Owner any](window time.Duration, count int) *Group[Owner] {
	return &Group[Owner]{window: window, count: count}
}

// Add takes a commit that owner's machine asked for.
func (g *Group[Owner]) Add(now time.Time, owner Owner, commit Commit) {
	g.pending = append(g.pending, member[Owner]{owner: owner, commit: commit, since: now})
}

// Len counts the commits that wait.
func (g *Group[Owner]) Len() int { return len(g.pending) }

// Due is when the next batch leaves; ok is false if nothing waits.
func (g *Group[Owner]) Due() (at time.Time, ok bool) {
	if len(g.pending) == 0 {
		return time.Time{}, false
	}
	if len(g.pending) >= g.count {
		return g.pending[0].since, true
	}
	return g.pending[0].since.Add(g.window), true
}

// Take returns the batch that leaves now, if one does.
//
// Two commits on one row never share a batch: the table checks conditions
// before it writes, so both would find the key free and both be granted.
func (g *Group[Owner]) Take(now time.Time) (*Batch[Owner], bool) {
	if at, ok := g.Due(); !ok || now.Before(at) {
		return nil, false
	}
	var batch Batch[Owner]
	var rest []member[Owner]
	taken := map[string]bool{}
	for _, m := range g.pending {
		if len(batch.members) >= g.count || taken[m.commit.key] {
			rest = append(rest, m)
			continue
		}
		taken[m.commit.key] = true
		batch.members = append(batch.members, m)
	}
	g.pending = rest
	return &batch, true
}

// Batch is commits on different rows that go to the table as one transaction.
type Batch[Owner any] struct {
	members   []member[Owner]
	conflicts int
}

// Len counts the commits in the batch.
func (b *Batch[Owner]) Len() int { return len(b.members) }

// Transaction is all the commits as one.
func (b *Batch[Owner]) Transaction() bfstore.Transaction {
	var tx bfstore.Transaction
	for _, m := range b.members {
		tx.Conditions = append(tx.Conditions, m.commit.tx.Conditions...)
		tx.Writes = append(tx.Writes, m.commit.tx.Writes...)
	}
	return tx
}

// Ended is the end of one commit of a batch.
type Ended[Owner any] struct {
	owner Owner
	event CommitEnded
}

// Owner is whose machine asked for the commit.
func (e Ended[Owner]) Owner() Owner { return e.owner }

// Event is what to tell the machine.
func (e Ended[Owner]) Event() CommitEnded { return e.event }

// maxConflicts is after how many conflicts the rest of a batch goes row by row:
// each conflict takes a transaction, and with many the rest would wait for all.
const maxConflicts = 2

// End takes what the table returned and gives the commits that ended and the batches to send again.
func (b *Batch[Owner]) End(err error) (ended []Ended[Owner], again []*Batch[Owner]) {
	end, row, _ := classify(err)
	if end != commitConflicted {
		return b.all(err), nil
	}
	var rest []member[Owner]
	for _, m := range b.members {
		if m.commit.key == row.Key {
			ended = append(ended, Ended[Owner]{owner: m.owner, event: CommitEnded{Err: err}})
			continue
		}
		rest = append(rest, m)
	}
	if len(ended) == 0 {
		// A conflict on a row that is not in the batch says nothing of those that are.
		return b.all(&bfstore.UnknownError{Reason: "conflict on row " + row.Key + ", which is not in the batch"}), nil
	}
	return ended, b.split(rest)
}

func (b *Batch[Owner]) all(err error) []Ended[Owner] {
	ended := make([]Ended[Owner], 0, len(b.members))
	for _, m := range b.members {
		ended = append(ended, Ended[Owner]{owner: m.owner, event: CommitEnded{Err: err}})
	}
	return ended
}

func (b *Batch[Owner]) split(rest []member[Owner]) []*Batch[Owner] {
	if len(rest) == 0 {
		return nil
	}
	if b.conflicts+1 < maxConflicts {
		return []*Batch[Owner]{{members: rest, conflicts: b.conflicts + 1}}
	}
	batches := make([]*Batch[Owner], 0, len(rest))
	for _, m := range rest {
		batches = append(batches, &Batch[Owner]{members: []member[Owner]{m}})
	}
	return batches
}
