package bfgossip

import (
	"cmp"
	"encoding/binary"
	"slices"

	"bilberryflow.org/lib/bfroster"
)

// RowFunc returns the row of the member whose ID has the given hash.
type RowFunc func(hash uint64) (bfroster.Row, bool)

// change is a changed row that is still being sent.
type change struct {
	hash uint64
	sent int
	// stamp is the position in the sequence of changes; the newest is sent first.
	stamp uint64
	// whole sends the entire row instead of only the fields that can change within
	// an incarnation.
	whole bool
}

// Queue holds the changes of rows that are still being sent.
type Queue struct {
	changes map[uint64]*change
	stamp   uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{changes: map[uint64]*change{}} }

// Add queues a change of a row; if whole, the entire row is sent, otherwise only
// the fields that can change within an incarnation.
func (q *Queue) Add(hash uint64, whole bool) {
	q.stamp++
	if old, waiting := q.changes[hash]; waiting {
		whole = whole || old.whole
	}
	q.changes[hash] = &change{hash: hash, stamp: q.stamp, whole: whole}
}

// Remove drops the change of a row, if any.
func (q *Queue) Remove(hash uint64) { delete(q.changes, hash) }

// Len returns the number of queued changes.
func (q *Queue) Len() int { return len(q.changes) }

// Pack adds to news the changes that fit into the budget, in bytes, and drops those
// sent limit times.
//
// Rows are looked up when they are packed, so the latest row is sent.
func (q *Queue) Pack(rows RowFunc, news *News, budget, limit int) {
	p := packer{news: news, remaining: budget}
	for _, c := range q.byPriority() {
		if p.remaining <= minNewsBytes {
			break
		}
		row, found := rows(c.hash)
		if !found {
			delete(q.changes, c.hash)
			continue
		}
		if !p.pack(c, row) {
			continue
		}
		if c.sent++; c.sent >= limit {
			delete(q.changes, c.hash)
		}
	}
}

// byPriority lists the least often sent changes first, the newest first among equals.
func (q *Queue) byPriority() []*change {
	list := make([]*change, 0, len(q.changes))
	for _, c := range q.changes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *change) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.stamp, a.stamp))
	})
	return list
}

const (
	// minNewsBytes is the budget, in bytes, into which no change fits.
	minNewsBytes = 18
	// lossHeaderBytes is the size, in bytes, of a Loss without its domain's name and its members.
	lossHeaderBytes = 10
)

// packer fills the news of one datagram.
type packer struct {
	news      *News
	remaining int
}

func (p *packer) pack(c *change, row bfroster.Row) bool {
	switch {
	case c.whole:
		return p.packRow(row)
	case row.State == bfroster.Alive:
		return p.packMark(c.hash, row)
	default:
		return p.packLoss(c.hash, row)
	}
}

func (p *packer) reserve(size int) bool {
	if size > p.remaining {
		return false
	}
	p.remaining -= size
	return true
}

func (p *packer) packRow(row bfroster.Row) bool {
	if !p.reserve(EncodedSize(row)) {
		return false
	}
	p.news.Rows = append(p.news.Rows, row)
	return true
}

func (p *packer) packMark(hash uint64, row bfroster.Row) bool {
	mark := Mark{
		Hash: hash, Incarnation: row.Incarnation, Sequence: row.Sequence, Target: row.Target, Slots: row.Slots,
	}
	if !p.reserve(EncodedSize(mark)) {
		return false
	}
	p.news.Marks = append(p.news.Marks, mark)
	return true
}

func (p *packer) packLoss(hash uint64, row bfroster.Row) bool {
	size := 16 + len(binary.AppendUvarint(nil, row.Sequence))
	i := slices.IndexFunc(p.news.Losses, func(l Loss) bool { return l.Domain == row.Domain && l.State == row.State })
	if i < 0 {
		size += lossHeaderBytes + len(row.Domain)
	}
	if !p.reserve(size) {
		return false
	}
	if i < 0 {
		p.news.Losses = append(p.news.Losses, Loss{Domain: row.Domain, State: row.State})
		i = len(p.news.Losses) - 1
	}
	p.news.Losses[i].Add(LostMember{hash, row.Incarnation, row.Sequence})
	return true
}
