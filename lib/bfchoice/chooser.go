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
	// mu orders what decides who is set aside: swaps and failures. Pick does not take it.
	mu sync.Mutex
}

// NewChooser makes a chooser without targets for a node in ownDomain.
func NewChooser(ownDomain string) *Chooser {
	c := &Chooser{ownDomain: ownDomain}
	c.current.Store(newSet(nil, nil))
	return c
}

// Set is the current set.
func (c *Chooser) Set() *Set { return c.current.Load() }

// Swap puts members in place of the current ones; what was seen of those that stay is kept.
func (c *Chooser) Swap(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := newSet(c.current.Load(), members)
	// A smaller set may set fewer aside: without this a service that shrinks
	// while some are set aside could be left with none.
	surplus := next.Aside() - next.maxAside()
	for _, candidate := range next.usable {
		if surplus > 0 && candidate.target.outlier.aside() {
			candidate.target.outlier.release()
			surplus--
		}
	}
	c.current.Store(next)
}

// Pick chooses a target from the current set.
func (c *Chooser) Pick(now time.Time, exclude []string) (*Target, bool) {
	return Pick(now, c.current.Load(), c.ownDomain, exclude, rand.Uint64())
}

// End records how a request ended that Begin counted.
func (c *Chooser) End(now time.Time, target *Target, result Result) {
	target.inFlight.Add(-1)
	outlier := &target.outlier
	switch result {
	case Cancelled:
		outlier.probedAt.Store(0)
	case Answered:
		outlier.count(now, false)
		if outlier.aside() {
			c.restore(now, outlier)
		}
	case Broken:
		if outlier.count(now, true) || outlier.aside() {
			c.trySetAside(now, target)
		}
	}
}

// restore puts a target back in use once its probe was answered.
func (c *Chooser) restore(now time.Time, o *outlier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An answer that comes before the time is over belongs to a request sent
	// before the target was set aside; it does not show that it works now.
	if now.UnixNano() < o.asideUntil.Load() {
		return
	}
	o.release()
	o.times.Store(0)
}

func (c *Chooser) trySetAside(now time.Time, target *Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outlier := &target.outlier
	if outlier.aside() {
		// Only a failed probe makes it longer, not the other requests that were
		// in flight when it was set aside.
		if now.UnixNano() >= outlier.asideUntil.Load() {
			outlier.setAside(now)
		}
		return
	}
	set := c.current.Load()
	if held := set.targets[target.id]; held == target && set.Aside() < set.maxAside() {
		outlier.setAside(now)
	}
}
