package bfrollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

// State is the state of a roll-out in the store's status row.
type State uint8

// The states of a roll-out. Only Completed and RolledBack are final.
const (
	// Unverified means that the order was read from a store that may already hold its end.
	Unverified State = iota
	// Ordered means that no status has been written for the order.
	Ordered
	// Running means that the status "running" has been written.
	Running
	// Completed means that the service consists of the new version only.
	Completed
	// RolledBack means that the new version receives no requests.
	RolledBack
)

// String returns the name of the state for operators.
func (s State) String() string {
	return [...]string{"unverified", "ordered", "running", "completed", "rolled back"}[min(s, RolledBack)]
}

// IsFinal reports whether the roll-out has ended.
func (s State) IsFinal() bool { return s == Completed || s == RolledBack }

// Record is what a node knows of the newest roll-out of a service, in the form in which nodes
// exchange it.
type Record struct {
	Order Order `cbor:"1,keyasint"`
	// Previous is the order that this one replaced. A restored store may hold it again.
	Previous Order `cbor:"2,keyasint"`
	// Elapsed is the time since the order was first read, as of sending.
	Elapsed time.Duration `cbor:"3,keyasint"`
	State   State         `cbor:"4,keyasint"`
	// Condemned is set once the version was found bad, and Reason says why. Cleared is set once it
	// was found good, and its traffic may be moved.
	Condemned bool   `cbor:"5,keyasint,omitempty"`
	Cleared   bool   `cbor:"6,keyasint,omitempty"`
	Reason    string `cbor:"7,keyasint,omitempty"`
}

// merge returns the record with what another one adds to it, and whether it changed. Each part of
// a record only grows, so records may be merged in any order and any number of times.
func (r Record) merge(other Record) (merged Record, changed bool) {
	switch {
	case other.Order.Restates(r.Order):
	case other.Order.Restates(r.Previous) || other.Order.Revision < r.Order.Revision:
		return r, false
	default:
		if other.Previous == (Order{}) {
			other.Previous = r.Order
		}
		return other, true
	}
	merged = r
	if other.State > r.State && !r.State.IsFinal() {
		merged.State = other.State
	}
	merged.Condemned = r.Condemned || other.Condemned
	merged.Cleared = r.Cleared || other.Cleared
	merged.Reason = cmp.Or(r.Reason, other.Reason)
	merged.Elapsed = max(r.Elapsed, other.Elapsed)
	return merged, merged.State != r.State || merged.Condemned != r.Condemned || merged.Cleared != r.Cleared
}

// withdrawn reports whether the new version must receive no requests.
func (r Record) withdrawn() bool { return r.State == RolledBack || r.Condemned && r.State != Completed }

// digest identifies the records, without the times that differ between nodes; it is 0 without any.
func digest(records []Record) uint64 {
	if len(records) == 0 {
		return 0
	}
	sorted := slices.SortedFunc(slices.Values(records), func(a, b Record) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
	h := fnv.New64a()
	for _, r := range sorted {
		// Write never fails.
		_, _ = h.Write([]byte(r.Order.Service + "\x00" + r.Order.Version + "\x00" + strconv.FormatInt(int64(r.Order.Duration), 10) +
			"\x00" + r.State.String() + strconv.FormatBool(r.Condemned) + strconv.FormatBool(r.Cleared)))
	}
	return h.Sum64() | 1
}
