package bfreplay

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load describes a simulation: one service, its targets, and its requests.
type Load struct {
	Seed uint64
	// Domains is the number of failure domains, each with a target for each speed.
	Domains int
	// Speeds are the service times of the targets of a domain, relative to the mean.
	Speeds []float64
	// Slots is the number of requests a target runs concurrently.
	Slots int
	// PerSecond is the arrival rate; Burst multiplies it in the middle third of Length
	// where it is above 0.
	PerSecond float64
	Burst     float64
	// Running is the mean service time, Spread the standard deviation of its logarithm.
	Running time.Duration
	Spread  float64
	// Objective and Deadline are those of each caller; callers arrive for Length.
	Objective, Deadline, Length time.Duration
	// Retries is how often a refused caller retries.
	Retries int
}

// Options selects how requests are handled. With the zero value, no request waits for a slot
// and a search for a target ends after a fixed share of the objective.
type Options struct {
	// Wait lets requests queue for a slot of the selected target.
	Wait bool
	// AdaptiveSearch derives search times and retry pauses from the observed acceptance rate of targets.
	AdaptiveSearch bool
}

// arrival is the arrival of one caller.
type arrival struct {
	at          time.Duration
	serviceTime time.Duration
	domain      int
}

// arrivals generates the callers of a load, the same for the same seed.
func (l Load) arrivals() []arrival {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	var all []arrival
	for at := time.Duration(0); at < l.Length; {
		rate := l.PerSecond
		if at > l.Length/3 && at < l.Length*2/3 && l.Burst > 0 {
			rate *= l.Burst
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		// The mean of a lognormal distribution is exp(mu + sigma^2/2); this sets it to Running.
		serviceTime := float64(l.Running) * math.Exp(l.Spread*random.NormFloat64()-l.Spread*l.Spread/2)
		all = append(all, arrival{at: at, serviceTime: time.Duration(serviceTime), domain: random.IntN(l.Domains)})
	}
	return all
}
