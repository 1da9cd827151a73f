package bfshare

import "sync/atomic"

// Share is an exponential moving average of the share of events noted as true. Its zero
// value is 0.
//
// It is safe for concurrent use.
type Share struct{ value atomic.Uint32 }

const (
	// window is the number of events over which the average is taken: less than a second
	// of a busy target, and about a second of an entry of a large fleet.
	window = 16
	// one is a share of 1 in fixed-point representation.
	one = 1 << 16
)

// NewFull returns a share that starts at 1.
func NewFull() *Share {
	s := &Share{}
	s.value.Store(one)
	return s
}

// Note counts one event.
func (s *Share) Note(result bool) {
	for {
		before := s.value.Load()
		after := before - before/window
		if result {
			after += one / window
		}
		if s.value.CompareAndSwap(before, after) {
			return
		}
	}
}

// Value returns the share, from 0 to 1.
func (s *Share) Value() float64 { return min(float64(s.value.Load())/one, 1) }
