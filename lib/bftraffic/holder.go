package bftraffic

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the newest snapshot of one node, and some before it.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// before holds the snapshots that were in force last, the newest at the end.
	before []*Snapshot
	watch  func(*Snapshot)
}

// keptBefore is how many snapshots before the newest are kept, for deltas to nodes
// that still hold one of them. Versions are told within a second, and come four a
// second in a storm.
const keptBefore = 8

// NewHolder makes an empty holder that calls watch after each change.
func NewHolder(watch func(*Snapshot)) *Holder { return &Holder{watch: watch} }

// Current is the snapshot in force, nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Recent is the snapshot of a version if it is in force or was so lately, else nil.
func (h *Holder) Recent(version Version) *Snapshot {
	if current := h.Current(); current != nil && current.version == version {
		return current
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.before {
		if s.version == version {
			return s
		}
	}
	return nil
}

// Version is the version in force, 0 before the first.
func (h *Holder) Version() Version {
	if current := h.Current(); current != nil {
		return current.Version()
	}
	return 0
}

// Adopt puts s in force if it is newer than what is held, and reports whether it was.
//
// Versions cross on their way: one read from the store may come after a newer
// one that a peer sent. Whoever took the later arrival would go back.
func (h *Holder) Adopt(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Version() <= h.Version() {
		return false
	}
	if held := h.current.Swap(s); held != nil {
		h.before = append(h.before, held)
		h.before = h.before[max(len(h.before)-keptBefore, 0):]
	}
	if h.watch != nil {
		h.watch(s)
	}
	return true
}
