package bfgossip

import (
	"cmp"
	"encoding/binary"
	"slices"

	"bilberryflow.org/lib/bfroster"
)

// Rows finds the row of a member by the hash of its ID.
type Rows func(hash uint64) (bfroster.Row, bool)

// change is a row that still has to be told.
type change struct {
	hash uint64
	sent int
	// stamp grows with every change, so that the newest is told first.
	stamp uint64
	// whole changes carry the row, others only what changes within an incarnation.
	whole bool
}

// Queue holds the changes of rows that still have to be told.
type Queue struct {
	changes map[uint64]*change
	stamp   uint64
}

// NewQueue makes an empty queue.
func NewQueue() *Queue { return &Queue{changes: map[uint64]*change{}} }

// Add queues a change; a whole one carries the row, others what changes within an incarnation.
func (q *Queue) Add(hash uint64, whole bool) {
	q.stamp++
	if old, waiting := q.changes[hash]; waiting {
		whole = whole || old.whole
	}
	q.changes[hash] = &change{hash: hash, stamp: q.stamp, whole: whole}
}

// Remove forgets a change that is void.
func (q *Queue) Remove(hash uint64) { delete(q.changes, hash) }

// Len is how many changes wait to be told.
func (q *Queue) Len() int { return len(q.changes) }

// Pack adds to news what fits the budget in bytes, and drops what was told limit times.
//
// Rows are read when they are told, so that a change tells the latest row.
func (q *Queue) Pack(rows Rows, news *News, budget, limit int) {
	p := packer{news: news, left: budget}
	for _, c := range q.inTurn() {
		if p.left <= smallestNews {
			break
		}
		row, found := rows(c.hash)
		if !found {
			delete(q.changes, c.hash)
			continue
		}
		if !p.take(c, row) {
			continue
		}
		if c.sent++; c.sent >= limit {
			delete(q.changes, c.hash)
		}
	}
}

// inTurn lists the least told changes first, and among them the newest.
func (q *Queue) inTurn() []*change {
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
	smallestNews = 18
	// lossHeader is what a Loss costs besides its domain's name and its members.
	lossHeader = 10
)

// packer fills one datagram's news.
type packer struct {
	news *News
	left int
}

func (p *packer) take(c *change, row bfroster.Row) bool {
	switch {
	case c.whole:
		return p.takeRow(row)
	case row.State == bfroster.Alive:
		return p.takeMark(c.hash, row)
	default:
		return p.takeLoss(c.hash, row)
	}
}

func (p *packer) spend(size int) bool {
	if size > p.left {
		return false
	}
	p.left -= size
	return true
}

func (p *packer) takeRow(row bfroster.Row) bool {
	if !p.spend(EncodedSize(row)) {
		return false
	}
	p.news.Rows = append(p.news.Rows, row)
	return true
}

func (p *packer) takeMark(hash uint64, row bfroster.Row) bool {
	mark := Mark{
		Hash: hash, Incarnation: row.Incarnation, Sequence: row.Sequence, Target: row.Target, Slots: row.Slots,
	}
	if !p.spend(EncodedSize(mark)) {
		return false
	}
	p.news.Marks = append(p.news.Marks, mark)
	return true
}

func (p *packer) takeLoss(hash uint64, row bfroster.Row) bool {
	size := 16 + len(binary.AppendUvarint(nil, row.Sequence))
	i := slices.IndexFunc(p.news.Losses, func(l Loss) bool { return l.Domain == row.Domain && l.State == row.State })
	if i < 0 {
		size += lossHeader + len(row.Domain)
	}
	if !p.spend(size) {
		return false
	}
	if i < 0 {
		p.news.Losses = append(p.news.Losses, Loss{Domain: row.Domain, State: row.State})
		i = len(p.news.Losses) - 1
	}
	p.news.Losses[i].Add(LostMember{hash, row.Incarnation, row.Sequence})
	return true
}
