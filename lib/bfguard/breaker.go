package bfguard

import (
	"sync/atomic"
	"time"
)

// breaker refuses claims at once while the table does not answer.
//
// A claim holds a slot of the target. With a table that hangs, requests with
// keys would hold every slot for its timeout, and look-ups that need no table
// would be refused at an idle target. While the breaker is open one claim at a
// time finds out whether the table is back.
type breaker struct {
	// until is 0 while the table answers, else nanoseconds since 1970 before which nobody asks it.
	until atomic.Int64
}

// breakerPause is the time between two claims that try a table that failed.
const breakerPause = time.Second

// wait is how long a claim should wait; at 0 it may ask the table now.
func (b *breaker) wait(now time.Time) time.Duration {
	until := b.until.Load()
	if until == 0 {
		return 0
	}
	if left := time.Duration(until - now.UnixNano()); left > 0 {
		return left
	}
	if b.until.CompareAndSwap(until, now.Add(breakerPause).UnixNano()) {
		return 0
	}
	return breakerPause
}

// note takes in how a call to the table ended.
func (b *breaker) note(now time.Time, failed bool) {
	if failed {
		b.until.Store(now.Add(breakerPause).UnixNano())
		return
	}
	if b.until.Load() != 0 {
		b.until.Store(0)
	}
}
