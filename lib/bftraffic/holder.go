package bftraffic

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the newest snapshot of one node.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	watch   func(*Snapshot)
}

// NewHolder makes an empty holder that calls watch after each change.
func NewHolder(watch func(*Snapshot)) *Holder { return &Holder{watch: watch} }

// Current is the snapshot in force, nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

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
	h.current.Store(s)
	if h.watch != nil {
		h.watch(s)
	}
	return true
}
