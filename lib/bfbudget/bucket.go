package bfbudget

import (
	"math"
	"sync"
	"time"
)

// Terms limit the repeats that all nodes together send to a service in any window.
type Terms struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Slack is the number of repeats allowed in a window in addition to the ratio.
	Slack float64
	// Window is the length of the window in which requests and repeats are counted.
	Window time.Duration
}

// How the nodes divide the terms. The shares of the slack that are saved before a window,
// granted during it and owed at its end add up to less than 1, so that no window exceeds
// the slack, whatever the size of the fleet.
const (
	// ratioShare is the part of the ratio that nodes spend. The rest allows for sliding
	// windows, repeats up to a deadline after their requests, and rounding by fractions.
	ratioShare = 0.85
	// recentSpan is the time constant of the earnings that a node may save in addition to
	// its part of the slack. Without it, a node that may save less than one repeat loses
	// what it earns between two sheds. It carries a tenth of a window of ten seconds into
	// the next one.
	recentSpan = time.Second
	// savedShare is the part of the slack that all nodes together may save. A fixed number
	// for each node would let a large fleet save more than the slack, and spend it at once
	// when a service begins to shed.
	savedShare = 0.5
	// grantedShare is the part of the slack that is granted evenly over each window, for
	// services with few requests.
	grantedShare = 0.2
	// owedShare is the part of the slack that all nodes together may owe for runs with an
	// Inherited origin.
	owedShare = 0.2
	// callsShare is the part of the savings that is reserved for callers' requests, and
	// for a shed call that is the only one its run lacks. Repeating that call costs one
	// request and saves the run; repeating the run makes all its calls again.
	callsShare = 0.75
)

// bucket is one node's token bucket of the repeats to one service.
type bucket struct {
	mu sync.Mutex
	// balance is the number of repeats that the node may send now, negative for a debt.
	// It starts at 0, since a restarted fleet would otherwise spend its savings twice.
	balance float64
	// fraction is the part of the next repeat that is paid (see take).
	fraction   float64
	refilledAt time.Time
	// recent is the decaying sum of the earnings as of earnedAt, with time constant recentSpan.
	recent   float64
	earnedAt time.Time
}

// nodeShare returns one node's part of a share of the slack.
func (t Terms) nodeShare(share float64, nodes int) float64 {
	return t.Slack * share / float64(max(nodes, 1))
}

// earn adds what one request allows.
func (b *bucket) earn(terms Terms, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	amount := terms.Ratio * ratioShare
	b.recent = b.recentAt(now) + amount
	b.earnedAt = now
	b.add(amount, terms, nodes, now)
}

// recentAt returns the recent earnings decayed to now. The caller must hold mu.
func (b *bucket) recentAt(now time.Time) float64 {
	return b.recent * math.Exp(-float64(now.Sub(b.earnedAt))/float64(recentSpan))
}

// ceiling returns the most repeats that the node may save. The caller must hold mu.
func (b *bucket) ceiling(terms Terms, nodes int, now time.Time) float64 {
	return terms.nodeShare(savedShare, nodes) + b.recentAt(now)
}

// add adds repeats up to the ceiling. The caller must hold mu.
func (b *bucket) add(amount float64, terms Terms, nodes int, now time.Time) {
	b.balance = min(b.balance+amount, b.ceiling(terms, nodes, now))
}

// refund returns repeats that were taken and not used.
func (b *bucket) refund(amount float64, terms Terms, nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(amount, terms, nodes, now)
}

// charge takes repeats that were sent without asking, even if that leaves a debt.
func (b *bucket) charge(amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance -= amount
}

// refill adds the grant for the time since the last refill. The caller must hold mu.
func (b *bucket) refill(terms Terms, nodes int, now time.Time) {
	due := 0.0
	if !b.refilledAt.IsZero() {
		due = terms.nodeShare(grantedShare, nodes) * float64(now.Sub(b.refilledAt)) / float64(terms.Window)
	}
	b.refilledAt = now
	b.add(due, terms, nodes, now)
}

// take spends an amount of the balance above floor, and reports whether it did.
//
// In a large fleet a node may save less than one repeat, and would otherwise never send
// any. There the available balance is spent on a fraction of the amount, and take
// succeeds each time the fractions add up to a whole. Nodes start with random fractions,
// so that all of them together send as many repeats as they paid for.
func (b *bucket) take(amount, floor float64, terms Terms, nodes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(terms, nodes, now)
	available := b.balance - floor
	switch {
	case available >= amount:
		b.balance -= amount
		return true
	case available <= 0, b.ceiling(terms, nodes, now)-floor >= amount:
		return false
	}
	b.balance = floor
	b.fraction += available / amount
	if b.fraction < 1 {
		return false
	}
	b.fraction--
	return true
}

// maxSavings returns the maximum number of repeats that the node may save.
func (b *bucket) maxSavings(terms Terms, nodes int, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ceiling(terms, nodes, now)
}

// current returns the number of repeats that the node may send now, negative for a debt.
func (b *bucket) current() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance
}
