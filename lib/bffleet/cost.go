package bffleet

import (
	"math"
	"time"

	"bilberryflow.org/lib/bflink"
)

// Demand describes a request for which a target is chosen.
type Demand struct {
	// Service is the service that the request goes to.
	Service string
	// Bytes is the size of the request and its answer.
	Bytes int
	// UsualTime is the usual time from send to answer for requests of the same route.
	UsualTime time.Duration
	// RunTime is the run time at a target of average speed, 0 if unknown.
	RunTime time.Duration
	// Objective is the time in which the request should be answered, Left the part of it
	// that remains.
	Objective, Left time.Duration
	// SameDomain restricts the choice to targets in the node's own failure domain.
	SameDomain bool
	// Versions restricts the choice to targets of some versions; nil for all.
	Versions VersionFilter
}

// The costs of a target, in units of the value of one answer.
const (
	// lateCost is the cost of a late answer.
	lateCost = 1.0
	// waitWeight is the weight of waiting for a slot relative to running, since each
	// waiting request also delays those behind it.
	waitWeight = 2
	// failingCost is the cost of a target that fails every request.
	failingCost = 1.0
	// loadCost is the cost of a target whose slots are all in use. It is proportional
	// below that, since some targets slow down as they fill up, and since free slots
	// absorb bursts.
	loadCost = 0.15
	// jitter keeps nodes with the same load reports from choosing the same target.
	jitter = 0.05
	// hopCost is the fixed cost of a request to another failure domain, and bytesPerUnitCost
	// the number of bytes sent there at a cost of 1. The fixed part covers headers and
	// refusals, about 500 bytes. A lower cost sends more bytes between domains for little
	// gain, half of it a third more; a higher one keeps requests in an overloaded domain, whose
	// callers then get less than others.
	hopCost          = 0.1
	bytesPerUnitCost = 20_000
	// linkCost is the cost of using the node's own link for a second. It keeps downloads
	// at the node's own target, where they use a slow link once instead of twice.
	linkCost = 10
	// linkWaitCost is the cost of a long answer that waits for its node's link for the
	// whole objective. It is high enough to choose another target before that.
	linkWaitCost = 8
	// longAnswer is the size in bytes from which an answer waits for its node's link.
	longAnswer = bflink.LongAnswer
	// firstReportInterval is how often a target without a load report is chosen without
	// hopCost; a new one in another domain would otherwise get no requests. Reports of others
	// are not renewed by requests for which the own domain has room.
	firstReportInterval = time.Second
)

// cost returns the expected cost of sending a request to the target, and whether all its
// slots are likely in use; random is from 0 to 1.
func (t *Target) cost(place Place, demand Demand, now time.Time, random float64) (cost float64, full bool) {
	load := t.Load(now)
	run := time.Duration(float64(demand.expectedRunTime()) * t.RelativeRunTime())
	wait := time.Duration(max(load-1, 0) * float64(run))
	cost = lateCost*demand.lateness(wait*waitWeight, run) + failingCost*t.failureRate(now)
	cost += loadCost*min(load, 1) + jitter*random
	return cost + t.networkCost(place, demand, now), load > 1
}

// networkCost returns the cost of the transfer to the target and back.
func (t *Target) networkCost(place Place, demand Demand, now time.Time) float64 {
	if t.member.Inbound == place.Inbound {
		return 0
	}
	cost := 0.0
	if t.member.Domain != place.Domain {
		cost += float64(demand.Bytes) / bytesPerUnitCost
		if !t.needsFirstReport(now) {
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

// needsFirstReport reports whether the target has no load report yet and was not chosen lately.
func (t *Target) needsFirstReport(now time.Time) bool {
	return t.lastLoad.Load() == nil && now.UnixNano()-t.chosenAt.Load() > int64(firstReportInterval)
}

// expectedRunTime returns the run time at a target of average speed.
func (d Demand) expectedRunTime() time.Duration {
	if d.RunTime > 0 {
		return d.RunTime
	}
	return d.UsualTime
}

// lateness returns the probability that the answer is late after a wait, if run times are
// exponentially distributed with a mean of run. If the wait alone makes the answer late,
// the result is above 1 and grows with the delay. Without an objective it is 0. For a mean of
// 160 ms and 500 ms left it is 4 in 100.
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
