package bfretry

import (
	"sync"
	"time"
)

// FleetBudget is one node's share of the repeats that all nodes together may send to a service.
//
// The nodes do not ask each other. Each earns from the requests that it sends
// itself, and holds an equal part of what the service bears beside that.
type FleetBudget struct {
	mu     sync.Mutex
	earned float64
	spare  float64
	since  time.Time
}

// Terms bound the repeats to a service in any window.
type Terms struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Slack is the repeats allowed beside the ratio in a window.
	Slack float64
	// Window is the span in which both are counted.
	Window time.Duration
}

const (
	// ratioShare is the part of the ratio that nodes spend: windows slide, and
	// what one window earned may be spent in the next, which has fewer requests.
	ratioShare = 0.6
	// slackShare is the part of the slack that nodes spend; a node may know fewer
	// members than there are, and take a larger part than its own.
	slackShare = 0.5
	// maxEarned is how many repeats are saved at most, so that an hour of quiet
	// does not pay for a storm.
	maxEarned = 5
)

// Earn counts one request sent.
func (b *FleetBudget) Earn(terms Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+terms.Ratio*ratioShare, maxEarned)
}

// Charge counts a repeat that nobody asked for: a nested call of a request that
// runs again. It may leave a debt, which later requests pay.
func (b *FleetBudget) Charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned--
}

// Left is how many repeats the node may send now, below 0 for a debt.
func (b *FleetBudget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.earned + b.spare
}

// Take spends one repeat if there is one; nodes is the size of the fleet.
func (b *FleetBudget) Take(terms Terms, nodes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := terms.Slack * slackShare / float64(max(nodes, 1))
	if !b.since.IsZero() {
		b.spare += part * float64(now.Sub(b.since)) / float64(terms.Window)
	} else {
		b.spare = part
	}
	b.spare, b.since = min(b.spare, part), now
	switch {
	case b.earned >= 1:
		b.earned--
	case b.spare >= 1:
		b.spare--
	default:
		return false
	}
	return true
}
