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

// phase is a part of a run.
type phase int

const (
	settle phase = iota
	before
	spike
	after
	phases
)

// String returns the phase's name in the report.
func (p phase) String() string { return [phases]string{"settle", "before", "spike", "after"}[p] }

// timetable holds the length of each phase.
type timetable [phases]time.Duration

// Lengths of the other phases, as factors of the spike's length, and of the settle phase.
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

// begin returns the start of a phase relative to the start of the run. For the constant
// phases it returns the length of the run.
func (t timetable) begin(p phase) time.Duration {
	var at time.Duration
	for i := range p {
		at += t[i]
	}
	return at
}

const (
	// usualLoad is the load offered outside the spike, as a fraction of the slots' capacity.
	usualLoad = 0.5
	// spikeFactor is the ratio of the spike's request rate to the usual rate.
	spikeFactor = 20
	// writeShare is the fraction of requests that are not idempotent.
	writeShare = 0.05
	tenants    = 10
	// floodShare is the fraction of the spike's requests sent by the first tenant alone.
	floodShare = 0.5
)

// arrival is one request of the generated load.
type arrival struct {
	number  int
	at      time.Duration
	phase   phase
	class   class
	tenant  int
	service int
}

// arrivals generates a Poisson process with the phases' rates; capacity is in requests per second.
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
			a := arrival{number: len(list), at: at, phase: p, tenant: drawTenant(random, p), service: drawService(random, services, total)}
			if random.Float64() < writeShare {
				a.class = write
			}
			list = append(list, a)
		}
	}
	return list
}

func drawTenant(random *rand.Rand, p phase) int {
	if p == spike && random.Float64() < floodShare {
		return 0
	}
	return random.IntN(tenants)
}

// drawService draws a service with a probability proportional to its targets.
func drawService(random *rand.Rand, services []service, targets int) int {
	drawn := random.IntN(targets)
	for i, s := range services {
		if drawn < s.targets {
			return i
		}
		drawn -= s.targets
	}
	return len(services) - 1
}
