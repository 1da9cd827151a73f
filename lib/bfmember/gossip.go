package bfmember

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// change is a row that still has to be told.
type change struct {
	hash uint64
	sent int
	// stamp grows with every change, so that the newest is told first.
	stamp uint64
	// whole changes carry the row, others only what changes within an incarnation.
	whole bool
}

// gossip is the queue of changes to tell.
type gossip struct {
	changes map[uint64]*change
	stamp   uint64
}

func newGossip() *gossip { return &gossip{changes: map[uint64]*change{}} }

func (g *gossip) add(hash uint64, whole bool) {
	g.stamp++
	if old, waiting := g.changes[hash]; waiting {
		whole = whole || old.whole
	}
	g.changes[hash] = &change{hash: hash, stamp: g.stamp, whole: whole}
}

// pack takes what goes on one datagram, and drops what was told limit times.
func (g *gossip) pack(t *table, news *News, budget, limit int) {
	p := packer{news: news, left: budget}
	for _, c := range g.inTurn() {
		if p.left <= smallestNews {
			break
		}
		row, found := t.row(c.hash)
		if !found {
			delete(g.changes, c.hash)
			continue
		}
		if !p.take(c, row) {
			continue
		}
		if c.sent++; c.sent >= limit {
			delete(g.changes, c.hash)
		}
	}
}

// inTurn lists the least told changes first, and among them the newest.
func (g *gossip) inTurn() []*change {
	list := make([]*change, 0, len(g.changes))
	for _, c := range g.changes {
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

func (p *packer) take(c *change, row Row) bool {
	switch {
	case c.whole:
		return p.takeRow(row)
	case row.State == Alive:
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

func (p *packer) takeRow(row Row) bool {
	if !p.spend(encodedSize(row)) {
		return false
	}
	p.news.Rows = append(p.news.Rows, row)
	return true
}

func (p *packer) takeMark(hash uint64, row Row) bool {
	mark := Mark{
		Hash: hash, Incarnation: row.Incarnation, Sequence: row.Sequence, Target: row.Target, Slots: row.Slots,
	}
	if !p.spend(encodedSize(mark)) {
		return false
	}
	p.news.Marks = append(p.news.Marks, mark)
	return true
}

func (p *packer) takeLoss(hash uint64, row Row) bool {
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
	p.news.Losses[i].add(lost{hash, row.Incarnation, row.Sequence})
	return true
}
