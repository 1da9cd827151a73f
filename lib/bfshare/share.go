package bfshare

import "sync/atomic"

// Share is the part of the events of late that were noted as true; its zero value is 0.
//
// All methods may be called by many goroutines at once.
type Share struct{ value atomic.Uint32 }

const (
	// weight is how much one event counts: about the last 16 decide, which is less than
	// a second of a busy target, and about a second of an entry of a large fleet.
	weight = 16
	whole  = 1 << 16
)

// Full makes a share that begins at 1.
func Full() *Share {
	s := &Share{}
	s.value.Store(whole)
	return s
}

// Note counts one event.
func (s *Share) Note(is bool) {
	for {
		before := s.value.Load()
		after := before - before/weight
		if is {
			after += whole / weight
		}
		if s.value.CompareAndSwap(before, after) {
			return
		}
	}
}

// Value is the share, from 0 to 1.
func (s *Share) Value() float64 { return min(float64(s.value.Load())/whole, 1) }
