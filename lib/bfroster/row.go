package bfroster

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// State is what the fleet believes of a member; within one sequence number the larger value wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String is the form of pages and logs.
func (s State) String() string { return nameOf(int(s), "alive", "suspect", "dead", "left") }

// Present reports whether a member in the state still belongs to the Order.
func (s State) Present() bool { return s == Alive || s == Suspect }

// TargetState is what a member's node says of its target.
type TargetState uint8

// The states of a target.
const (
	TargetNone TargetState = iota
	TargetCold
	TargetReady
	TargetLeaving
	TargetSilent
)

// String is the form of pages and logs.
func (s TargetState) String() string {
	return nameOf(int(s), "none", "cold", "ready", "leaving", "silent")
}

func nameOf(i int, names ...string) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("unknown(%d)", i)
}

// Row is what the fleet knows of one member.
//
// Only the member itself changes its row, and within one incarnation only
// Sequence, State, Target and Slots; others may only raise State. So two rows
// with the same incarnation and sequence differ in State alone.
type Row struct {
	// ID is the instance's name.
	ID      string `cbor:"1,keyasint"`
	Region  string `cbor:"2,keyasint,omitempty"`
	Domain  string `cbor:"3,keyasint,omitempty"`
	Service string `cbor:"4,keyasint,omitempty"`
	// Peer is the address for other nodes.
	Peer string `cbor:"5,keyasint"`
	// Inbound is the HTTP address of the target's guard.
	Inbound string `cbor:"6,keyasint,omitempty"`
	// Incarnation is when the process started or last refuted its death, in microseconds since 1970.
	Incarnation uint64      `cbor:"7,keyasint"`
	Sequence    uint64      `cbor:"8,keyasint,omitempty"`
	State       State       `cbor:"9,keyasint,omitempty"`
	Target      TargetState `cbor:"10,keyasint,omitempty"`
	Slots       uint32      `cbor:"11,keyasint,omitempty"`
}

// HashID is the 64-bit hash by which messages name a member.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Key is the row's place in the Order.
func (r Row) Key() Key { return Key{Region: r.Region, Domain: r.Domain, Hash: HashID(r.ID)} }

// DomainKey is the first key of the row's domain, which also names the domain.
func (r Row) DomainKey() Key { return Key{Region: r.Region, Domain: r.Domain} }

// Compare orders two rows of one member; the larger one is the later knowledge.
//
// The content after State only decides between rows that can't both exist; it
// keeps merging commutative even so, and the fleet agrees on one of them.
func Compare(a, b Row) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Peer, b.Peer),
		cmp.Compare(a.Inbound, b.Inbound),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Domain, b.Domain),
	)
}

// RowError reports a row that can't be of a member.
type RowError struct {
	ID     string
	Field  string
	Reason string
}

// Error names the member, the field and the reason.
func (e *RowError) Error() string { return fmt.Sprintf("row of %q: %s %s", e.ID, e.Field, e.Reason) }

const (
	// MaxText bounds each text of a row.
	MaxText = 96
	// MaxSequence bounds sequences and epochs.
	MaxSequence = 1 << 60
	// maxIncarnation leaves a member room to refute: a broken row with the
	// largest number could never be outdone, and its member would stay dead.
	maxIncarnation = 1 << 60
)

// Check refuses a row that can't be of a member.
func (r Row) Check() error {
	texts := []struct{ field, value string }{
		{"id", r.ID}, {"region", r.Region}, {"domain", r.Domain},
		{"service", r.Service}, {"peer", r.Peer}, {"inbound", r.Inbound},
	}
	for _, text := range texts {
		if len(text.value) > MaxText {
			return &RowError{ID: r.ID[:min(len(r.ID), MaxText)], Field: text.field, Reason: "is too long"}
		}
	}
	switch {
	case r.ID == "":
		return &RowError{Field: "id", Reason: "is empty"}
	case r.Peer == "":
		return &RowError{ID: r.ID, Field: "peer", Reason: "is empty"}
	case r.Incarnation == 0 || r.Incarnation > maxIncarnation:
		return &RowError{ID: r.ID, Field: "incarnation", Reason: "is out of range"}
	case r.Sequence > MaxSequence:
		return &RowError{ID: r.ID, Field: "sequence", Reason: "is out of range"}
	case r.State > Left:
		return &RowError{ID: r.ID, Field: "state", Reason: "is unknown"}
	case r.Target > TargetSilent:
		return &RowError{ID: r.ID, Field: "target", Reason: "is unknown"}
	}
	return nil
}
