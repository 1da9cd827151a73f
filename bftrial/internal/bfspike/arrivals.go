package bfspike

import (
	"math/rand/v2"
	"time"
)

// class is one of the two kinds of request.
type class int

const (
	read class = iota
	write
	classes
)

// phase is a part of the run.
type phase int

const (
	settle phase = iota
	before
	spike
	after
	phases
)

// String is the phase's name in the report.
func (p phase) String() string { return [phases]string{"settle", "before", "spike", "after"}[p] }

// timetable is how long each phase lasts.
type timetable [phases]time.Duration

// Shares of the spike's length that the other phases last.
const (
	beforeShare, afterShare = 0.7, 1.5
	settleTime              = 2 * time.Second
)

func newTimetable(length time.Duration) timetable {
	return timetable{
		settle: settleTime, before: time.Duration(beforeShare * float64(length)).Round(time.Second),
		spike: length, after: time.Duration(afterShare * float64(length)).Round(time.Second),
	}
}

// begin is when a phase begins, since the start of the run; that of phases is the end of the run.
func (t timetable) begin(p phase) time.Duration {
	var at time.Duration
	for i := range p {
		at += t[i]
	}
	return at
}

const (
	// usualLoad is the share of the slots' capacity offered before and after the spike.
	usualLoad = 0.5
	// spikeFactor is how many times the usual rate is offered in the spike.
	spikeFactor = 20
	// writeShare is the share of requests that are not idempotent.
	writeShare = 0.05
	tenants    = 10
	// floodShare of the spike's requests come from the first tenant.
	floodShare = 0.5
)

// arrival is one caller's request.
type arrival struct {
	number  int
	at      time.Duration
	phase   phase
	class   class
	tenant  int
	service int
}

// arrivals are a Poisson process at the phases' rates; capacity is requests a second.
func arrivals(seed uint64, t timetable, capacity float64, services []service) []arrival {
	random := rand.New(rand.NewPCG(seed, seed+1))
	total := 0
	for _, s := range services {
		total += s.targets
	}
	var list []arrival
	for p := range phases {
		rate := usualLoad * capacity
		if p == spike {
			rate *= spikeFactor
		}
		end := t.begin(p + 1)
		at := t.begin(p)
		for {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break
			}
			a := arrival{number: len(list), at: at, phase: p, tenant: tenantOf(random, p), service: serviceOf(random, services, total)}
			if random.Float64() < writeShare {
				a.class = write
			}
			list = append(list, a)
		}
	}
	return list
}

func tenantOf(random *rand.Rand, p phase) int {
	if p == spike && random.Float64() < floodShare {
		return 0
	}
	return random.IntN(tenants)
}

// serviceOf gives each service the share of its targets.
func serviceOf(random *rand.Rand, services []service, targets int) int {
	drawn := random.IntN(targets)
	for i, s := range services {
		if drawn < s.targets {
			return i
		}
		drawn -= s.targets
	}
	return len(services) - 1
}
