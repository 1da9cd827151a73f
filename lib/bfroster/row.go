package bfroster

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// State is a member's liveness state; among rows with the same sequence number the larger state
// takes precedence.
type State uint8

// Liveness states of a member.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name used on status pages and in logs.
func (s State) String() string { return nameOf(int(s), "alive", "suspect", "dead", "left") }

// Present reports whether a member in this state is included in an Order.
func (s State) Present() bool { return s == Alive || s == Suspect }

// TargetState is the state of a member's target as reported by its node.
type TargetState uint8

// States of a target.
const (
	TargetNone TargetState = iota
	TargetCold
	TargetReady
	TargetLeaving
	TargetSilent
)

// String returns the name used on status pages and in logs.
func (s TargetState) String() string {
	return nameOf(int(s), "none", "cold", "ready", "leaving", "silent")
}

func nameOf(i int, names ...string) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("unknown(%d)", i)
}

// Row is the replicated state of one member.
//
// Only the member itself changes its row, and within one incarnation only Sequence, State,
// Target and Slots; other members may only raise State. Two rows with the same incarnation and
// sequence therefore differ in State alone.
type Row struct {
	// ID is the instance's name.
	ID      string `cbor:"1,keyasint"`
	Region  string `cbor:"2,keyasint,omitempty"`
	Domain  string `cbor:"3,keyasint,omitempty"`
	Service string `cbor:"4,keyasint,omitempty"`
	// Peer is the address for calls from other nodes.
	Peer string `cbor:"5,keyasint"`
	// Inbound is the HTTP address of the target's guard.
	Inbound string `cbor:"6,keyasint,omitempty"`
	// Incarnation is when the process started or last refuted its death, in microseconds since
	// 1970.
	Incarnation uint64      `cbor:"7,keyasint"`
	Sequence    uint64      `cbor:"8,keyasint,omitempty"`
	State       State       `cbor:"9,keyasint,omitempty"`
	Target      TargetState `cbor:"10,keyasint,omitempty"`
	Slots       uint32      `cbor:"11,keyasint,omitempty"`
}

// HashID returns the 64-bit hash that identifies a member in messages.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Key returns the row's sort key in an Order.
func (r Row) Key() Key { return Key{Region: r.Region, Domain: r.Domain, Hash: HashID(r.ID)} }

// DomainKey returns the smallest key of the row's domain, which also identifies the domain.
func (r Row) DomainKey() Key { return Key{Region: r.Region, Domain: r.Domain} }

// Compare orders two rows of one member; the larger one is newer.
//
// The fields after State only decide between rows that cannot both be valid. Comparing them
// keeps merging commutative, so that all nodes select the same row.
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

// RowError reports an invalid field of a row.
type RowError struct {
	ID     string
	Field  string
	Reason string
}

// Error returns the member, the field and the reason.
func (e *RowError) Error() string { return fmt.Sprintf("row of %q: %s %s", e.ID, e.Field, e.Reason) }

const (
	// MaxFieldBytes is the maximum length of each string field of a row in bytes.
	MaxFieldBytes = 96
	// MaxSequence is the largest valid sequence number and epoch.
	MaxSequence = 1 << 60
	// maxIncarnation leaves a member room to refute its death: no refutation could exceed a
	// corrupt row with the largest number, and the member would stay dead.
	maxIncarnation = 1 << 60
)

// Validate returns a RowError for the first invalid field, or nil.
func (r Row) Validate() error {
	texts := []struct{ field, value string }{
		{"id", r.ID}, {"region", r.Region}, {"domain", r.Domain},
		{"service", r.Service}, {"peer", r.Peer}, {"inbound", r.Inbound},
	}
	for _, text := range texts {
		if len(text.value) > MaxFieldBytes {
			return &RowError{ID: r.ID[:min(len(r.ID), MaxFieldBytes)], Field: text.field, Reason: "is too long"}
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
