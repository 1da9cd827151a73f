package bfreplay

import (
	"cmp"
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
	// Sources are the groups of callers; nil means one without a workspace.
	Sources []Source
}

// Source is a group of callers of a load. Its share of the arrivals is its weight over the sum of
// all weights.
type Source struct {
	// Name names the source in the report. Workspace is "" for none.
	Name, Workspace string
	// Class is the kind of its requests, Rank their priority.
	Class string
	Rank  int
	// Weight is its usual arrival rate, and Surge multiplies it in the middle third of the load where
	// it is above 0.
	Weight, Surge float64
	// Running is the mean service time, that of the load where it is 0.
	Running time.Duration
}

// Options selects how requests are handled. With the zero value, no request waits for a slot
// and a search for a target ends after a fixed share of the objective.
type Options struct {
	// Wait lets requests queue for a slot of the selected target.
	Wait bool
	// AdaptiveSearch derives search times and retry pauses from the observed acceptance rate of targets.
	AdaptiveSearch bool
	// Fair tells the queues and the entries the workspaces.
	Fair bool
}

// arrival is the arrival of one caller.
type arrival struct {
	at          time.Duration
	serviceTime time.Duration
	domain      int
	source      *Source
}

// arrivals generates the callers of a load, the same for the same seed.
func (l Load) arrivals() []arrival {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	var all []arrival
	for at := time.Duration(0); at < l.Length; {
		surging := at > l.Length/3 && at < l.Length*2/3
		rate := l.PerSecond
		if surging && l.Burst > 0 {
			rate *= l.Burst
		}
		usual, now := l.weights(surging)
		if len(l.Sources) > 0 {
			rate *= now / usual
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		// The mean of a lognormal distribution is exp(mu + sigma^2/2); this sets it to Running.
		running, source := l.Running, &Source{}
		if len(l.Sources) > 0 {
			source = l.pick(surging, now*random.Float64())
			running = cmp.Or(source.Running, running)
		}
		serviceTime := float64(running) * math.Exp(l.Spread*random.NormFloat64()-l.Spread*l.Spread/2)
		all = append(all, arrival{at: at, serviceTime: time.Duration(serviceTime), domain: random.IntN(l.Domains), source: source})
	}
	return all
}

// weight is the present weight of a source.
func (s *Source) weight(surging bool) float64 {
	if surging && s.Surge > 0 {
		return s.Weight * s.Surge
	}
	return s.Weight
}

// weights returns the sums of the usual and the present weights of all sources.
func (l Load) weights(surging bool) (usual, now float64) {
	for at := range l.Sources {
		usual += l.Sources[at].Weight
		now += l.Sources[at].weight(surging)
	}
	return usual, now
}

// pick returns the source at a point between 0 and the sum of the present weights.
func (l Load) pick(surging bool, point float64) *Source {
	for at := range l.Sources {
		s := &l.Sources[at]
		if point -= s.weight(surging); point <= 0 {
			return s
		}
	}
	return &l.Sources[len(l.Sources)-1]
}
