package bfquota

import (
	"math"
	"time"
)

// Limit is the quota of a workspace over all nodes.
type Limit struct {
	Workspace string
	// Rate is in requests per second and Burst in requests; both are whole numbers in the
	// configuration.
	Rate, Burst float64
}

// Terms are the tolerances of the quotas: in each window the requests of a workspace stay within
// (rate x window + burst) x (1 + Overshoot) + Slack.
type Terms struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Bound returns the number of requests of a workspace that may run in a span.
func (t Terms) Bound(l Limit, span time.Duration) float64 {
	return (l.Rate*span.Seconds()+l.Burst)*(1+t.Overshoot) + t.Slack
}

// How the tolerance of a window is divided. What is saved beyond the burst, granted at the start of
// a lease and held by entries adds up to less than the whole; the rest covers joining members, whose
// entitlement others have not yet given up, restarts, and clocks of different rates.
const (
	// headroomOvershoot and headroomSlack are the shares that are added to the burst, since a
	// workspace without one would have to send at perfectly regular intervals.
	headroomOvershoot = 0.15
	headroomSlack     = 0.3
	// creditOvershoot and creditSlack are the shares that a fleet may grant at once when it starts or
	// changes brokers, whose buckets are empty.
	creditOvershoot = 0.1
	creditSlack     = 0.25
	// heldOvershoot is the share that entries may hold in addition to the burst.
	heldOvershoot = 0.5
)

// share returns a part of the tolerance of one window.
func (t Terms) share(l Limit, overshoot, slack float64) float64 {
	return overshoot*t.Overshoot*(l.Rate*t.Window.Seconds()+l.Burst) + slack*t.Slack
}

// minCapacity is the smallest capacity. With less than one token a workspace would get nothing, and a
// broker lacks a part of the capacity while members are missing.
const minCapacity = 2

// capacity returns the tokens that all nodes together may save.
func (t Terms) capacity(l Limit) float64 {
	return max(l.Burst+t.share(l, headroomOvershoot, headroomSlack), minCapacity)
}

// credit returns the tokens that all nodes together are granted once at the start of their leases.
func (t Terms) credit(l Limit) float64 { return t.share(l, creditOvershoot, creditSlack) }

// freeHeld returns the tokens in the hands of entries that don't count towards the capacity.
func (t Terms) freeHeld(l Limit) float64 {
	return l.Rate * t.Window.Seconds() * t.Overshoot * heldOvershoot
}

// holdTime is how long an entry may hold tokens. Unused quota is missing elsewhere for as long.
const holdTime = time.Second

// quickHold is how long an entry may hold the tokens that its waiting requests use. It is longer than
// requests wait.
const quickHold = 150 * time.Millisecond

const (
	// minLease, maxLease and leasePerMember determine the leases: a broker of a fleet of 1,000 nodes
	// would otherwise receive 3,000 delegations a second.
	minLease       = 500 * time.Millisecond
	maxLease       = 2 * time.Second
	leasePerMember = 10 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed before it ends, so that one lost message does
	// not end it.
	renewalsPerLease = 3
	// gapMargin and gapDrift are by how much a node counts a lease longer than its broker, for clocks
	// of different rates and for rounding to milliseconds.
	gapMargin = 20 * time.Millisecond
	gapDrift  = 0.01
)

// Lease returns the length of the leases in a fleet of a size.
func Lease(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*leasePerMember, minLease), maxLease)
}

// RenewInterval returns the time between two delegations in a fleet of a size.
func RenewInterval(nodes int) time.Duration { return Lease(nodes) / renewalsPerLease }

// gap returns the time from sending a delegation after which its lease has certainly ended at the
// broker. The broker counts the lease from a moment before the sending, so that the gap need not
// cover the time for which the message was under way.
func gap(lease time.Duration) time.Duration {
	return lease + time.Duration(math.Ceil(float64(lease)*gapDrift)) + gapMargin
}
