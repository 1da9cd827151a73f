package bfview

import (
	"slices"
	"time"
)

// Grave is what is kept of a dropped row.
type Grave struct {
	Incarnation, Sequence uint64
	at                    time.Time
}

// Retention bounds what is kept of members that are gone.
type Retention struct {
	// Rows is how long the row of a member that died or left is kept.
	Rows time.Duration
	// Graves is how long the incarnation of a dropped row stays barred.
	Graves time.Duration
	// MaxGraves is how many graves are kept.
	MaxGraves int
}

// Grave is the grave that a member must outdo; false where there is none or it was outdone.
func (t *Table) Grave(hash uint64) (Grave, bool) {
	g, dropped := t.graves[hash]
	if row, found := t.Row(hash); found && row.Incarnation > g.Incarnation {
		return Grave{}, false
	}
	return g, dropped
}

// Sweep drops rows that are dead for long, and graves that are older still.
func (t *Table) Sweep(now time.Time, keep Retention) {
	for hash, e := range t.entries {
		row := e.member.Row()
		if row.State.Present() || now.Sub(e.since) < keep.Rows {
			continue
		}
		delete(t.entries, hash)
		t.bury(hash, Grave{row.Incarnation, row.Sequence, now})
	}
	for len(t.buried) > 0 {
		hash := t.buried[0]
		g, found := t.graves[hash]
		if found && len(t.graves) <= keep.MaxGraves && now.Sub(g.at) < keep.Graves {
			return
		}
		delete(t.graves, hash)
		t.buried = t.buried[1:]
	}
}

func (t *Table) bury(hash uint64, g Grave) {
	if _, found := t.graves[hash]; found {
		t.buried = slices.DeleteFunc(t.buried, func(h uint64) bool { return h == hash })
	}
	t.graves[hash] = g
	t.buried = append(t.buried, hash)
}
