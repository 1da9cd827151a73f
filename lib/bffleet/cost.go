package bffleet

import (
	"math"
	"time"
)

// Demand is what is known of a request that a target is chosen for.
type Demand struct {
	// Service is the one that the request goes to.
	Service string
	// Bytes is how many the request moves with its answer.
	Bytes int
	// Usual is how long a request of its route takes from its sending to its answer.
	Usual time.Duration
	// Running is how long a target of mean speed runs it, 0 where that is unknown.
	Running time.Duration
	// Objective is the time in which the request should be answered, Left what is left
	// of it.
	Objective, Left time.Duration
	// Near says that only targets of the own failure domain are to be chosen.
	Near bool
}

// The costs of a target are in shares of what the answer to one request is worth.
const (
	// lateCost is that of an answer that comes late for sure.
	lateCost = 1.0
	// waitWeight is how much a wait for a slot counts beside the time that the request
	// runs: whoever waits has those behind it wait too.
	waitWeight = 2
	// failingCost is that of a target that fails every request.
	failingCost = 1.0
	// loadCost is that of a target whose slots are all in use, before anybody waits:
	// some targets slow down as they fill up, and the slots that are left are what
	// serves the next burst.
	loadCost = 0.15
	// jitter keeps nodes that were told the same loads from choosing the same target.
	jitter = 0.05
	// hopCost is that of a request to another failure domain, bytesOfAnswer how many
	// bytes of body cost as much as the answer is worth. The hop's own lines, and the
	// refusals that a share of the requests meets there, are about 500 bytes. Of four
	// pairs of figures, over 18 days of 16 instances in four domains, these lost the
	// least: with hopCost 0.2 a quarter less bytes cross and the worst-served domain has
	// 0.89 of its worth instead of 0.91, with 0.05 a third more cross for 0.92.
	hopCost       = 0.1
	bytesOfAnswer = 20_000
	// linkCost is that of an answer that takes the node's own link a second: downloads
	// of a node with a target of their own take a slow link once and not twice.
	linkCost = 10
	// linkWaitCost is that of a long answer that waits for its node's link for a whole
	// objective: so much that it goes elsewhere before it is late.
	linkWaitCost = 8
	// longAnswer is the number of bytes from which an answer waits for its node's link.
	longAnswer = 16 << 10
	// probeInterval is how often a target of which nothing was ever heard costs no hop: a
	// new one in another domain would else get no work. What was heard of the others is
	// not refreshed by requests that the own domain has room for.
	probeInterval = time.Second
)

// cost is what a request is expected to lose at the target; full says that all its
// slots are believed in use. Chance is a random number from 0 to 1.
func (t *Target) cost(place Place, demand Demand, now time.Time, chance float64) (cost float64, full bool) {
	load := t.load(now)
	run := time.Duration(float64(demand.running()) * t.slow())
	wait := time.Duration(max(load-1, 0) * float64(run))
	cost = lateCost*demand.lateness(wait*waitWeight, run) + failingCost*t.failure(now)
	cost += loadCost*min(load, 1) + jitter*chance
	return cost + t.wayCost(place, demand, now), load > 1
}

// wayCost is that of the way to the target and of its answer's way back.
func (t *Target) wayCost(place Place, demand Demand, now time.Time) float64 {
	if t.member.Inbound == place.Inbound {
		return 0
	}
	cost := 0.0
	if t.member.Domain != place.Domain {
		cost += float64(demand.Bytes) / bytesOfAnswer
		if !t.wantsProbe(now) {
			cost += hopCost
		}
	}
	if demand.Bytes >= longAnswer {
		cost += linkWaitCost * float64(t.linkWait(now)) / float64(max(demand.Objective, 1))
	}
	if place.LinkBytes > 0 {
		cost += linkCost * float64(demand.Bytes) / place.LinkBytes
	}
	return cost
}

// wantsProbe reports whether nothing was ever heard of the target, nor asked lately.
func (t *Target) wantsProbe(now time.Time) bool {
	return t.told.Load() == nil && now.UnixNano()-t.probed.Load() > int64(probeInterval)
}

// running is how long a target of mean speed runs the request.
func (d Demand) running() time.Duration {
	if d.Running > 0 {
		return d.Running
	}
	return d.Usual
}

// lateness is how likely the answer is to come late after a wait, for a target that
// runs such requests for a mean time. Running times are taken as exponential: of
// those of 160 ms in the mean and an objective of 500 ms that is 4 in 100, and 2 to 7
// were measured on targets of that speed. What is late for sure costs the more the
// longer it takes; what has no objective is never late.
func (d Demand) lateness(wait, run time.Duration) float64 {
	if d.Objective <= 0 {
		return 0
	}
	left := d.Left - wait
	if left <= 0 {
		return 1 + float64(wait+run)/float64(d.Objective)
	}
	return math.Exp(-float64(left) / float64(max(run, 1)))
}
