package bfchoice

import (
	"sync/atomic"
	"time"
)

const (
	// maxConsecutive failures in a row set a target aside.
	maxConsecutive = 5
	// A target is also set aside when half of at least minSample requests in a window failed.
	minSample   = 20
	errorShare  = 0.5
	errorWindow = 10 * time.Second
	// firstAside doubles with each failed probe up to longestAside.
	firstAside   = time.Second
	longestAside = time.Minute
	// probeTimeout lets another request probe when the first one's end was never reported.
	probeTimeout = 10 * time.Second
	// asideShare is the part of a set that may be set aside: one in three.
	asideShare = 3
)

// Result is how a request sent to a target ended, as far as it says something about the target.
type Result int

// The results.
const (
	// Answered means that the target answered in whole, or that its node refused
	// for want of room: a full target is not a broken one, and setting targets
	// aside for it under load would take away the room that is left.
	Answered Result = iota
	// Broken means that the answer was cut or never came, or that the target shed
	// or failed a request although its node had given it a slot.
	Broken
	// Cancelled says nothing about the target.
	Cancelled
)

// outlier is what this node has seen go wrong at one target.
type outlier struct {
	consecutive atomic.Int32
	// window packs the number of the window, its requests and its failures.
	window atomic.Uint64
	// asideUntil is 0 while the target is not set aside, else nanoseconds since
	// 1970 after which one request at a time may probe it.
	asideUntil atomic.Int64
	// probedAt is when the running probe began, 0 for none.
	probedAt atomic.Int64
	// times counts the times in a row that the target was set aside.
	times atomic.Int32
}

// aside reports whether the target is set aside or being probed.
func (o *outlier) aside() bool { return o.asideUntil.Load() != 0 }

// probeDue reports whether a request may probe the target at now.
func (o *outlier) probeDue(now time.Time) bool {
	if now.UnixNano() < o.asideUntil.Load() {
		return false
	}
	probed := o.probedAt.Load()
	return probed == 0 || now.UnixNano()-probed >= int64(probeTimeout)
}

// startProbe lets exactly one of the requests that picked the target through.
func (o *outlier) startProbe(now time.Time) bool {
	probed := o.probedAt.Load()
	return o.probeDue(now) && o.probedAt.CompareAndSwap(probed, now.UnixNano())
}

// release puts the target back in use.
func (o *outlier) release() {
	o.consecutive.Store(0)
	o.window.Store(0)
	o.probedAt.Store(0)
	o.asideUntil.Store(0)
}

// setAside needs the Chooser's lock.
func (o *outlier) setAside(now time.Time) {
	times := min(o.times.Add(1), 16)
	length := min(firstAside<<(times-1), longestAside)
	o.asideUntil.Store(now.Add(length).UnixNano())
	o.probedAt.Store(0)
}

// count records a result and reports whether the target has become an outlier.
func (o *outlier) count(now time.Time, broken bool) bool {
	var run int32
	if broken {
		run = o.consecutive.Add(1)
	} else {
		o.consecutive.Store(0)
	}
	requests, failures := o.countInWindow(now, broken)
	if !broken {
		return false
	}
	return run >= maxConsecutive || requests >= minSample && float64(failures) >= errorShare*float64(requests)
}

const (
	countBits = 20
	countMask = 1<<countBits - 1
)

func (o *outlier) countInWindow(now time.Time, broken bool) (requests, failures uint64) {
	number := uint64(now.UnixNano()/int64(errorWindow)) & (1<<(64-2*countBits) - 1)
	for {
		held := o.window.Load()
		requests, failures = held>>countBits&countMask, held&countMask
		if held>>(2*countBits) != number {
			requests, failures = 0, 0
		}
		if requests == countMask {
			return requests, failures
		}
		requests++
		if broken {
			failures++
		}
		next := number<<(2*countBits) | requests<<countBits | failures
		if o.window.CompareAndSwap(held, next) {
			return requests, failures
		}
	}
}
