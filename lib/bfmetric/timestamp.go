package bfmetric

import (
	"sync/atomic"
	"time"
)

// Timestamp is the time of the last occurrence of an event. It keeps the monotonic reading, since the wall clock
// may jump.
type Timestamp struct{ at atomic.Pointer[time.Time] }

// Set sets it to now.
func (t *Timestamp) Set() {
	now := time.Now()
	t.at.Store(&now)
}

// AgeMs returns the milliseconds since the last occurrence, -1 if there was none.
func (t *Timestamp) AgeMs() int64 {
	at := t.at.Load()
	if at == nil {
		return -1
	}
	return time.Since(*at).Milliseconds()
}
