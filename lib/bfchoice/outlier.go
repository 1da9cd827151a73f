package bfchoice

import (
	"sync/atomic"
	"time"
)

const (
	// maxConsecutiveFailures ejects a target.
	maxConsecutiveFailures = 5
	// A target is also ejected when at least errorShare of at least minSample requests
	// in a window failed.
	minSample   = 20
	errorShare  = 0.5
	errorWindow = 10 * time.Second
	// baseEjection is doubled with each failed probe, up to maxEjection.
	baseEjection = time.Second
	maxEjection  = time.Minute
	// probeTimeout is the time after which a probe without a result is replaced.
	probeTimeout = 10 * time.Second
	// ejectionDivisor limits ejection to one in three targets of a set.
	ejectionDivisor = 3
)

// Result is what the end of a request shows about the target's health.
type Result int

// The results.
const (
	// Success means that the target responded completely, or that its node rejected the
	// request because it was full: ejecting full targets would reduce capacity under load.
	Success Result = iota
	// Failure means that the response was truncated or missing, or that the target shed
	// or failed a request that its node had admitted.
	Failure
	// Cancelled shows nothing about the target.
	Cancelled
)

// outlier is the outlier detection state of one target, as observed by this node.
type outlier struct {
	consecutive atomic.Int32
	// window packs the window's number, its requests and its failures.
	window atomic.Uint64
	// ejectedUntil is the time in nanoseconds since 1970 from which one request at a time
	// may probe the target, 0 while it is not ejected.
	ejectedUntil atomic.Int64
	// probeStarted is when the running probe began, in nanoseconds since 1970, 0 for none.
	probeStarted atomic.Int64
	// ejections counts consecutive ejections.
	ejections atomic.Int32
}

// ejected reports whether the target is ejected or being probed.
func (o *outlier) ejected() bool { return o.ejectedUntil.Load() != 0 }

// probeDue reports whether a request may probe the target at now.
func (o *outlier) probeDue(now time.Time) bool {
	if now.UnixNano() < o.ejectedUntil.Load() {
		return false
	}
	started := o.probeStarted.Load()
	return started == 0 || now.UnixNano()-started >= int64(probeTimeout)
}

// startProbe reserves the probe slot; of concurrent requests exactly one succeeds.
func (o *outlier) startProbe(now time.Time) bool {
	started := o.probeStarted.Load()
	return o.probeDue(now) && o.probeStarted.CompareAndSwap(started, now.UnixNano())
}

// readmit ends the ejection and resets the failure counts.
func (o *outlier) readmit() {
	o.consecutive.Store(0)
	o.window.Store(0)
	o.probeStarted.Store(0)
	o.ejectedUntil.Store(0)
}

// eject ejects the target; the Chooser's lock must be held.
func (o *outlier) eject(now time.Time) {
	ejections := min(o.ejections.Add(1), 16)
	length := min(baseEjection<<(ejections-1), maxEjection)
	o.ejectedUntil.Store(now.Add(length).UnixNano())
	o.probeStarted.Store(0)
}

// record counts a result and reports whether the target has become an outlier.
func (o *outlier) record(now time.Time, failed bool) bool {
	var streak int32
	if failed {
		streak = o.consecutive.Add(1)
	} else {
		o.consecutive.Store(0)
	}
	requests, failures := o.countInWindow(now, failed)
	if !failed {
		return false
	}
	return streak >= maxConsecutiveFailures || requests >= minSample && float64(failures) >= errorShare*float64(requests)
}

const (
	countBits = 20
	countMask = 1<<countBits - 1
)

func (o *outlier) countInWindow(now time.Time, failed bool) (requests, failures uint64) {
	number := uint64(now.UnixNano()/int64(errorWindow)) & (1<<(64-2*countBits) - 1)
	for {
		packed := o.window.Load()
		requests, failures = packed>>countBits&countMask, packed&countMask
		if packed>>(2*countBits) != number {
			requests, failures = 0, 0
		}
		if requests == countMask {
			return requests, failures
		}
		requests++
		if failed {
			failures++
		}
		next := number<<(2*countBits) | requests<<countBits | failures
		if o.window.CompareAndSwap(packed, next) {
			return requests, failures
		}
	}
}
