package bfchoice

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Chooser holds the current Set of one service.
type Chooser struct {
	ownDomain string
	current   atomic.Pointer[Set]
	// mu serializes swaps and ejections. Pick does not take it.
	mu sync.Mutex
}

// NewChooser returns a chooser without targets for a node in the failure domain ownDomain.
func NewChooser(ownDomain string) *Chooser {
	c := &Chooser{ownDomain: ownDomain}
	c.current.Store(newSet(nil, nil))
	return c
}

// Set returns the current set.
func (c *Chooser) Set() *Set { return c.current.Load() }

// Swap replaces the members; observations of targets that remain are kept.
func (c *Chooser) Swap(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := newSet(c.current.Load(), members)
	// A smaller set has a lower limit: without this, a service that shrinks could be
	// left with ejected targets only.
	excess := next.Ejected() - next.maxEjected()
	for _, candidate := range next.usable {
		if excess > 0 && candidate.target.outlier.ejected() {
			candidate.target.outlier.readmit()
			excess--
		}
	}
	c.current.Store(next)
}

// Pick selects a target from the current set.
func (c *Chooser) Pick(now time.Time, exclude []string) (*Target, bool) {
	return Pick(now, c.current.Load(), c.ownDomain, exclude, rand.Uint64())
}

// End records the result of a request that was counted by Begin.
func (c *Chooser) End(now time.Time, target *Target, result Result) {
	target.inFlight.Add(-1)
	outlier := &target.outlier
	switch result {
	case Cancelled:
		outlier.probeStarted.Store(0)
	case Success:
		outlier.record(now, false)
		if outlier.ejected() {
			c.restore(now, outlier)
		}
	case Failure:
		if outlier.record(now, true) || outlier.ejected() {
			c.tryEject(now, target)
		}
	}
}

// restore readmits a target after a successful probe.
func (c *Chooser) restore(now time.Time, o *outlier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A response before the end of the ejection belongs to a request sent before it
	// and does not show that the target has recovered.
	if now.UnixNano() < o.ejectedUntil.Load() {
		return
	}
	o.readmit()
	o.ejections.Store(0)
}

func (c *Chooser) tryEject(now time.Time, target *Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outlier := &target.outlier
	if outlier.ejected() {
		// Only a failed probe extends the ejection, not other requests that were in
		// flight when it began.
		if now.UnixNano() >= outlier.ejectedUntil.Load() {
			outlier.eject(now)
		}
		return
	}
	set := c.current.Load()
	if member := set.targets[target.id]; member == target && set.Ejected() < set.maxEjected() {
		outlier.eject(now)
	}
}
