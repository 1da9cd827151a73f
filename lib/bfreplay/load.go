package bfreplay

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load is what is replayed: one service, its targets, and the requests for it.
type Load struct {
	Seed uint64
	// Domains is the number of failure domains, each with a target for each speed.
	Domains int
	// Speeds are how long the targets of a domain run a request, in parts of its mean.
	Speeds []float64
	// Slots is how many requests a target runs at once.
	Slots int
	// PerSecond is how many requests come in a second, Burst by how much more of them
	// in the middle third of the time.
	PerSecond float64
	Burst     float64
	// Running is the mean time of a request, Spread the deviation of its logarithm.
	Running time.Duration
	Spread  float64
	// Objective and Deadline are the caller's, Length is how long callers come.
	Objective, Deadline, Length time.Duration
	// Retries is how often a refused caller comes back.
	Retries int
}

// Ways are those in which requests may be treated; the zero value is the earlier one:
// nobody waits, and a walk ends after a tenth of the objective whatever was observed.
type Ways struct {
	// Wait has requests wait at the chosen target by what drains until their turn.
	Wait bool
	// ByOdds has walks, and times to come back, follow how often targets take requests.
	ByOdds bool
}

// arrival is one caller.
type arrival struct {
	at      time.Duration
	running time.Duration
	domain  int
}

// arrivals draws the callers of a load; a load with the same seed has the same.
func (l Load) arrivals() []arrival {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	var all []arrival
	for at := time.Duration(0); at < l.Length; {
		rate := l.PerSecond
		if at > l.Length/3 && at < l.Length*2/3 && l.Burst > 0 {
			rate *= l.Burst
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		// The mean of a lognormal time is that of its logarithm and half its variance.
		length := float64(l.Running) * math.Exp(l.Spread*random.NormFloat64()-l.Spread*l.Spread/2)
		all = append(all, arrival{at: at, running: time.Duration(length), domain: random.IntN(l.Domains)})
	}
	return all
}
