package bfview

import (
	"slices"
	"time"
)

// Tombstone records the incarnation and the sequence of a dropped row.
type Tombstone struct {
	Incarnation, Sequence uint64
	at                    time.Time
}

// Retention bounds what a Table keeps of dead members.
type Retention struct {
	// Rows is how long the row of a member that died or left is kept.
	Rows time.Duration
	// Tombstones is how long a tombstone is kept.
	Tombstones time.Duration
	// MaxTombstones is the maximum number of tombstones.
	MaxTombstones int
}

// Tombstone returns the tombstone of a member, or false if there is none or the member's row has a higher incarnation.
func (t *Table) Tombstone(hash uint64) (Tombstone, bool) {
	g, dropped := t.tombstones[hash]
	if row, found := t.Row(hash); found && row.Incarnation > g.Incarnation {
		return Tombstone{}, false
	}
	return g, dropped
}

// Sweep replaces expired rows with tombstones, and removes expired and excess tombstones.
func (t *Table) Sweep(now time.Time, retention Retention) {
	for hash, e := range t.entries {
		row := e.member.Row()
		if row.State.Present() || now.Sub(e.since) < retention.Rows {
			continue
		}
		delete(t.entries, hash)
		t.addTombstone(hash, Tombstone{row.Incarnation, row.Sequence, now})
	}
	for len(t.tombstoneQueue) > 0 {
		hash := t.tombstoneQueue[0]
		g, found := t.tombstones[hash]
		if found && len(t.tombstones) <= retention.MaxTombstones && now.Sub(g.at) < retention.Tombstones {
			return
		}
		delete(t.tombstones, hash)
		t.tombstoneQueue = t.tombstoneQueue[1:]
	}
}

func (t *Table) addTombstone(hash uint64, g Tombstone) {
	if _, found := t.tombstones[hash]; found {
		t.tombstoneQueue = slices.DeleteFunc(t.tombstoneQueue, func(h uint64) bool { return h == hash })
	}
	t.tombstones[hash] = g
	t.tombstoneQueue = append(t.tombstoneQueue, hash)
}
