package bfguard

import (
	"sync/atomic"
	"time"
)

// breaker is a circuit breaker that rejects claims while the table does not respond.
//
// A claim holds a slot of the target, so with a hanging table requests with keys
// would occupy every slot, and requests that need no table would be rejected. While
// the breaker is open, one claim at a time probes the table.
type breaker struct {
	// openUntil is the time of the next probe in nanoseconds since 1970, 0 while the breaker is closed.
	openUntil atomic.Int64
}

// breakerRetryInterval is the time between probes of a failed table.
const breakerRetryInterval = time.Second

// delay returns how long a claim must wait, or 0 if it may use the table now.
func (b *breaker) delay(now time.Time) time.Duration {
	until := b.openUntil.Load()
	if until == 0 {
		return 0
	}
	if left := time.Duration(until - now.UnixNano()); left > 0 {
		return left
	}
	if b.openUntil.CompareAndSwap(until, now.Add(breakerRetryInterval).UnixNano()) {
		return 0
	}
	return breakerRetryInterval
}

// record updates the breaker with the result of a call to the table.
func (b *breaker) record(now time.Time, failed bool) {
	if failed {
		b.openUntil.Store(now.Add(breakerRetryInterval).UnixNano())
		return
	}
	if b.openUntil.Load() != 0 {
		b.openUntil.Store(0)
	}
}
