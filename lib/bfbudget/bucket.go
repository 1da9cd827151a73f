package bfbudget

import (
	"math"
	"sync"
	"time"
)

// Terms bound the repeats that all nodes together send to a service in any window.
type Terms struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Slack is the repeats allowed beside the ratio in a window.
	Slack float64
	// Window is the span in which both are counted.
	Window time.Duration
}

// What the nodes make of the terms. The parts of the slack add up to less than all of
// it, so that no window has more repeats than it allows, whatever the size of the
// fleet: saved before the window, granted in it and owed at its end.
const (
	// ratioShare is the part of the ratio that nodes spend. Windows slide, a repeat
	// follows its request by up to a deadline, and lots come out unevenly.
	ratioShare = 0.85
	// recentSpan is for how long a node may save what its own requests earn, beside its part
	// of the slack. Without it a node that saves less than one repeat loses what it earns
	// between two sheds: of what a fleet of 28 nodes was allowed in a replay, 0.64 was
	// used. It carries a tenth of a window's earnings into the next one.
	recentSpan = time.Second
	// savedShare is the part of the slack that all nodes together save at most. A node
	// that saved a fixed number would have a fleet of 195 save twice the slack in the
	// calm, and spend it at once when a service begins to shed.
	savedShare = 0.5
	// grantedShare is the part of the slack that is spread over each window: a service
	// with few requests is repeated too.
	grantedShare = 0.2
	// owedShare is the part of the slack that all nodes together owe at most for calls
	// of runs that are repeats since the request that they are nested in is one.
	owedShare = 0.2
	// callsShare is the part of what is saved that only callers' requests may spend, and
	// calls that are the last ones missing to their run. A call that was shed costs one
	// arrival to repeat and saves the run that it is nested in; that run repeated makes
	// all its calls again. On 20 targets whose runs make 1.4 calls each to a service that
	// sheds a third, 410 instead of 90 of the repeats went to shed calls, and 300 instead
	// of 364 requests failed (means of three plays and one).
	callsShare = 0.75
)

// bucket is one node's part of the repeats to one service.
type bucket struct {
	mu sync.Mutex
	// left is how many repeats the node may send now, below 0 for a debt. A node that
	// starts has none: a fleet that is started anew would else have its savings twice.
	left float64
	// lots is the part of a lot that is paid.
	lots  float64
	since time.Time
	// recent is what was earned within about recentSpan before earned.
	recent float64
	earned time.Time
}

// part is a node's part of a share of the slack.
func (t Terms) part(share float64, nodes int) float64 {
	return t.Slack * share / float64(max(nodes, 1))
}

// earn counts one request sent.
func (b *bucket) earn(terms Terms, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	amount := terms.Ratio * ratioShare
	b.recent = b.recentAt(now) + amount
	b.earned = now
	b.add(amount, terms, nodes, now)
}

// recentAt is what was earned lately, as of now; it needs the lock.
func (b *bucket) recentAt(now time.Time) float64 {
	return b.recent * math.Exp(-float64(now.Sub(b.earned))/float64(recentSpan))
}

// ceiling is what the node may save; it needs the lock.
func (b *bucket) ceiling(terms Terms, nodes int, now time.Time) float64 {
	return terms.part(savedShare, nodes) + b.recentAt(now)
}

// add needs the lock.
func (b *bucket) add(amount float64, terms Terms, nodes int, now time.Time) {
	b.left = min(b.left+amount, b.ceiling(terms, nodes, now))
}

// back returns what was taken and not used.
func (b *bucket) back(amount float64, terms Terms, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(amount, terms, nodes, now)
}

// charge takes repeats that nobody asked for.
func (b *bucket) charge(amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left -= amount
}

// refill grants what has become due since the last time; it needs the lock.
func (b *bucket) refill(terms Terms, nodes int, now time.Time) {
	due := 0.0
	if !b.since.IsZero() {
		due = terms.part(grantedShare, nodes) * float64(now.Sub(b.since)) / float64(terms.Window)
	}
	b.since = now
	b.add(due, terms, nodes, now)
}

// take spends an amount of what is there above a floor.
//
// The many nodes of a large fleet may save less than one repeat each, and would otherwise
// never send any. There what is there is spent on a part of a lot, and the node sends a
// repeat with each whole lot. Nodes start with random parts of one, so that over all of
// them the repeats are as many as was spent on them.
func (b *bucket) take(amount, floor float64, terms Terms, nodes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(terms, nodes, now)
	there := b.left - floor
	switch {
	case there >= amount:
		b.left -= amount
		return true
	case there <= 0, b.ceiling(terms, nodes, now)-floor >= amount:
		return false
	}
	b.left = floor
	b.lots += there / amount
	if b.lots < 1 {
		return false
	}
	b.lots--
	return true
}

// most is how many repeats the node may save.
func (b *bucket) most(terms Terms, nodes int, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ceiling(terms, nodes, now)
}

// value is how many repeats the node may send now, below 0 for a debt.
func (b *bucket) value() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}
