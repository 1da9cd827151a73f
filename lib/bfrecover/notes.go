package bfrecover

import (
	"maps"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// Notes is the witness's side: what other instances have told it, in memory only.
type Notes struct {
	self     string
	settings Settings
	memory   uint64
	seen     time.Time
	entries  map[string]entry
}

type entry struct {
	version   bfconfig.Version
	sets      []Set
	refreshed time.Time
}

// NewNotes makes an empty memory; its number must be higher than those of all earlier incarnations of this node, with room between.
func NewNotes(now time.Time, self string, memory uint64, settings Settings) *Notes {
	return &Notes{self: self, settings: settings, memory: memory, seen: now, entries: map[string]entry{}}
}

// Memory is the number of the present memory; notes for another one are refused.
func (n *Notes) Memory() uint64 { return n.memory }

// Len is how many instances are noted.
func (n *Notes) Len() int { return len(n.entries) }

// Tick must come more often than MaxPause while the node runs.
func (n *Notes) Tick(now time.Time) {
	n.forgetAfterPause(now)
	maps.DeleteFunc(n.entries, func(_ string, e entry) bool {
		return now.Sub(e.refreshed) > n.settings.Lapse+n.settings.Margin
	})
}

// forgetAfterPause treats a pause as a restart. A frozen node wakes with notes
// in its sockets that are long superseded; taken as fresh they would make an
// old version count, and a restarted instance would go back to it. Under a new
// memory number those notes are refused.
func (n *Notes) forgetAfterPause(now time.Time) {
	if now.Sub(n.seen) > n.settings.MaxPause {
		clear(n.entries)
		n.memory++
	}
	n.seen = now
}

// OnNote takes a note over, or refuses it.
func (n *Notes) OnNote(now time.Time, note Note) Ack {
	n.forgetAfterPause(now)
	refusal := Ack{Witness: n.self, Memory: n.memory, Refused: true}
	if note.Memory != n.memory {
		return refusal
	}
	e, known := n.entries[note.Instance]
	// An entry is never dropped to make room: a late note could then register the
	// instance again with an older version, as if nothing had been forgotten.
	if !known && len(n.entries) >= n.settings.MaxNotes {
		return refusal
	}
	order := Set{Incarnation: note.Incarnation, Epoch: note.Epoch}.compare(newest(e.sets))
	if order > 0 {
		if newest(note.Sets).compare(Set{Incarnation: note.Incarnation, Epoch: note.Epoch}) != 0 {
			return refusal
		}
		e.sets = note.Sets
	}
	if order >= 0 {
		e.refreshed = now
	}
	e.version = max(e.version, note.Version)
	n.entries[note.Instance] = e
	set := newest(e.sets)
	return Ack{
		Witness: n.self, Memory: n.memory,
		Incarnation: set.Incarnation, Epoch: set.Epoch, Version: e.version,
	}
}

// OnQuestion answers an instance that restarted.
func (n *Notes) OnQuestion(now time.Time, question Question) Answer {
	n.forgetAfterPause(now)
	e, known := n.entries[question.Instance]
	if !known || now.Sub(e.refreshed) > n.settings.Lapse {
		return Answer{Witness: n.self}
	}
	return Answer{Witness: n.self, Counts: true, Version: e.version, Sets: e.sets}
}
