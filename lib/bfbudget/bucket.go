package bfbudget

import (
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
	// callsShare is the part of what is saved that only requests whose own sending
	// failed may spend. A call that was shed costs one arrival to repeat, and saves the
	// run that it is nested in; that run repeated makes all its calls again. On 20
	// targets whose runs make 1.4 calls each to a service that sheds a third, 366
	// instead of 90 of the repeats went to shed calls and 345 instead of 390 requests
	// failed (one run each).
	callsShare = 0.5
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
}

// part is a node's part of a share of the slack.
func (t Terms) part(share float64, nodes int) float64 {
	return t.Slack * share / float64(max(nodes, 1))
}

// earn counts one request sent.
func (b *bucket) earn(terms Terms, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(terms.Ratio*ratioShare, terms, nodes)
}

// add needs the lock.
func (b *bucket) add(amount float64, terms Terms, nodes int) {
	b.left = min(b.left+amount, terms.part(savedShare, nodes))
}

// back returns what was taken and not used.
func (b *bucket) back(amount float64, terms Terms, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(amount, terms, nodes)
}

// charge takes repeats that nobody asked for.
func (b *bucket) charge(amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left -= amount
}

// refill grants what has become due since the last time.
func (b *bucket) refill(terms Terms, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.since.IsZero() {
		b.add(terms.part(grantedShare, nodes)*float64(now.Sub(b.since))/float64(terms.Window), terms, nodes)
	}
	b.since = now
}

// take spends an amount of what is there above a floor, in a fleet whose nodes save up to
// a ceiling.
//
// The many nodes of a large fleet may save less than one repeat each, and would otherwise
// never send any. There what is there is spent on a part of a lot, and the node sends a
// repeat with each whole lot. Nodes start with random parts of one, so that over all of
// them the repeats are as many as was spent on them.
func (b *bucket) take(amount, floor, ceiling float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	there := b.left - floor
	switch {
	case there >= amount:
		b.left -= amount
		return true
	case there <= 0, ceiling-floor >= amount:
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

// value is how many repeats the node may send now, below 0 for a debt.
func (b *bucket) value() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}
