package bfrollout

import "sync"

// Allotment bounds the requests that one entry sends to the new version: their number never exceeds
// the terms' share of the requests of the service that this entry has sent to targets, plus the
// initial credit. The sum over all entries keeps the bound of the fleet, however unequal their
// loads are. It is safe for concurrent use.
type Allotment struct {
	mu sync.Mutex
	// left is the number of requests that may still be sent; paced is the part of it that the
	// present stage of the roll-out allows.
	left, paced float64
	byRoute     map[string]int
	total       int
}

// NewAllotment returns an allotment with an initial credit, which lets entries with few requests
// take part. All entries together may have half of the terms' slack; the other half is for those
// that restart.
func NewAllotment(terms Terms, entries int) *Allotment {
	credit := min(terms.Slack/2/float64(max(entries, 1)), 1)
	return &Allotment{left: credit, paced: credit, byRoute: map[string]int{}}
}

// Reached counts a request that reached a target of either version.
func (a *Allotment) Reached(maxShare, share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += maxShare
	a.paced = min(a.paced+share, maxPaced)
}

// maxPaced bounds the requests that may be sent to the new version in one burst.
const maxPaced = 2

// Take reports whether a request of a route may be sent to the new version, and counts it if so.
// Return must follow if it doesn't reach a target. While the traffic is moved, only the bound
// itself applies.
func (a *Allotment) Take(route string, moving bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left < 1 || !moving && a.paced < a.price(route) {
		return false
	}
	a.left--
	a.paced--
	a.byRoute[route]++
	a.total++
	return true
}

// price is the credit that a request of the route needs. Routes that were tried less than the
// others go first, so that a version that is bad on a rare route is found as soon as others.
func (a *Allotment) price(route string) float64 {
	if a.byRoute[route]*max(len(a.byRoute), 1) > a.total {
		return 2
	}
	return 1
}

// Return takes back a request of Take that reached no target.
func (a *Allotment) Return(route string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left++
	a.paced++
	a.byRoute[route]--
	a.total--
}
