package bftraffic

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the newest snapshot of a node and some previous ones.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// previous holds the snapshots most recently in force, the newest last.
	previous []*Snapshot
	onAdopt  func(*Snapshot)
}

// maxPrevious is the number of previous snapshots kept to create deltas for other
// nodes. Versions spread within a second, at a rate of up to four per second.
const maxPrevious = 8

// NewHolder returns an empty holder that calls onAdopt, if not nil, with each adopted snapshot.
func NewHolder(onAdopt func(*Snapshot)) *Holder { return &Holder{onAdopt: onAdopt} }

// Current returns the snapshot in force, nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Recent returns the snapshot of a version if it is in force or was recently, else nil.
func (h *Holder) Recent(version Version) *Snapshot {
	if current := h.Current(); current != nil && current.version == version {
		return current
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.previous {
		if s.version == version {
			return s
		}
	}
	return nil
}

// Version returns the version in force, 0 before the first.
func (h *Holder) Version() Version {
	if current := h.Current(); current != nil {
		return current.Version()
	}
	return 0
}

// Adopt puts s in force if it is newer than the current snapshot, and reports whether it did.
//
// Versions can arrive out of order, from the store and from peers; the check
// prevents a return to an older one.
func (h *Holder) Adopt(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Version() <= h.Version() {
		return false
	}
	if held := h.current.Swap(s); held != nil {
		h.previous = append(h.previous, held)
		h.previous = h.previous[max(len(h.previous)-maxPrevious, 0):]
	}
	if h.onAdopt != nil {
		h.onAdopt(s)
	}
	return true
}
