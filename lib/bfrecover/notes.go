package bfrecover

import (
	"maps"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// Notes is the witness's side: it records, in memory only, the notes of other instances.
type Notes struct {
	self     string
	settings Settings
	memory   uint64
	lastCall time.Time
	entries  map[string]entry
}

type entry struct {
	version   bfconfig.Version
	sets      []Set
	refreshed time.Time
}

// NewNotes returns empty notes. The memory number must be higher than that of all
// earlier incarnations of this node, with a gap, since each pause increments it.
func NewNotes(now time.Time, self string, memory uint64, settings Settings) *Notes {
	return &Notes{self: self, settings: settings, memory: memory, lastCall: now, entries: map[string]entry{}}
}

// Memory returns the current memory number; notes for another one are refused.
func (n *Notes) Memory() uint64 { return n.memory }

// Len returns the number of instances noted.
func (n *Notes) Len() int { return len(n.entries) }

// Tick detects pauses and drops expired notes; call it more often than once per MaxPause.
func (n *Notes) Tick(now time.Time) {
	n.resetAfterPause(now)
	maps.DeleteFunc(n.entries, func(_ string, e entry) bool {
		return now.Sub(e.refreshed) > n.settings.NoteTTL+n.settings.Margin
	})
}

// resetAfterPause treats a pause as a restart. After a pause, the socket buffers
// hold notes that may be superseded. Recorded as fresh they would make an old
// version count, and an instance that restarts would go back to it. With a new
// memory number those notes are refused.
func (n *Notes) resetAfterPause(now time.Time) {
	if now.Sub(n.lastCall) > n.settings.MaxPause {
		clear(n.entries)
		n.memory++
	}
	n.lastCall = now
}

// OnNote records a note. It refuses a note for another memory, of a new instance
// while the notes are full, or of a new epoch without its set.
func (n *Notes) OnNote(now time.Time, note Note) Ack {
	n.resetAfterPause(now)
	refusal := Ack{Witness: n.self, Memory: n.memory, Refused: true}
	if note.Memory != n.memory {
		return refusal
	}
	e, known := n.entries[note.Instance]
	// An entry is never evicted: a delayed note could then register the instance
	// again with an older version under the same memory number.
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

// OnQuestion answers an instance that has restarted.
func (n *Notes) OnQuestion(now time.Time, question Question) Answer {
	n.resetAfterPause(now)
	e, known := n.entries[question.Instance]
	if !known || now.Sub(e.refreshed) > n.settings.NoteTTL {
		return Answer{Witness: n.self}
	}
	return Answer{Witness: n.self, Counts: true, Version: e.version, Sets: e.sets}
}
