package bfreplay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// small is a service with one target in each of four failure domains and little spare capacity.
func small(seed uint64) Load {
	return Load{
		Seed: seed, Domains: 4, Speeds: []float64{1.1}, Slots: 9, PerSecond: 160, Running: 200 * time.Millisecond, Spread: 0.8,
		Objective: 600 * time.Millisecond, Deadline: 3 * time.Second, Length: 60 * time.Second, Retries: 2,
	}
}

// large is a service with seven targets of mixed speed in each of four failure domains.
func large(seed uint64) Load {
	l := small(seed)
	l.Speeds = []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7}
	l.PerSecond *= 7
	l.Length = 20 * time.Second
	return l
}

func (r Report) share(n int) float64 { return float64(n) / float64(r.Callers) }

const seeds = 3

// Guards against refusing requests while all slots of a target are only briefly in use:
// waiting for the next slot must answer more callers in time than refusing them.
func TestWaitingForTheNextSlotServesMore(t *testing.T) {
	is := is.New(t)
	gain := 0.0
	for seed := range uint64(seeds) {
		load := small(seed)
		load.Length *= 3
		refusing, waiting := Run(load, Options{}), Run(load, Options{Wait: true})
		t.Logf("refusing %.3f in time, %.3f refused, %d far; waiting %.3f, %.3f, %d",
			refusing.share(refusing.InTime), refusing.share(refusing.Refused), refusing.CrossDomainAttempts,
			waiting.share(waiting.InTime), waiting.share(waiting.Refused), waiting.CrossDomainAttempts)
		is.Equal(waiting.InTime+waiting.Late+waiting.Refused, waiting.Callers)
		is.True(waiting.share(waiting.InTime) > refusing.share(refusing.InTime))
		is.True(waiting.share(waiting.Refused) < refusing.share(refusing.Refused)-0.01)
		is.True(waiting.CrossDomainAttempts < refusing.CrossDomainAttempts/3)
		gain += (waiting.share(waiting.InTime) - refusing.share(refusing.InTime)) / seeds
	}
	is.True(gain > 0.01)
}

// Guards against simulations that aren't reproducible.
func TestSimulationsAreReproducible(t *testing.T) {
	is := is.New(t)
	load := large(1)
	load.Length = 2 * time.Second
	first, second := Run(load, Options{Wait: true, AdaptiveSearch: true}), Run(load, Options{Wait: true, AdaptiveSearch: true})
	is.Equal([]int{first.InTime, first.Late, first.Refused, first.Attempts, first.CrossDomainAttempts},
		[]int{second.InTime, second.Late, second.Refused, second.Attempts, second.CrossDomainAttempts})
}

// Guards against a queue that prolongs an overload: in a burst at twice the capacity, waiting
// must serve as many callers in time as refusing does, and make few more of them late.
func TestWaitingDoesNotProlongABurst(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		load := small(seed)
		load.Burst = 2
		refusing, waiting := Run(load, Options{}), Run(load, Options{Wait: true})
		t.Logf("refusing %.3f in time, %.3f late; waiting %.3f, %.3f",
			refusing.share(refusing.InTime), refusing.share(refusing.Late), waiting.share(waiting.InTime), waiting.share(waiting.Late))
		is.True(waiting.share(waiting.InTime) > refusing.share(refusing.InTime)-0.01)
		is.True(waiting.share(waiting.Late) < refusing.share(refusing.Late)+0.02)
	}
}

// Guards against waiting at a target that is full by chance: in a large fleet with stale load
// information and spare capacity, trying the next target must answer more callers in time
// and send fewer requests to other failure domains.
func TestSearchingPassesTargetsFullByChance(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		load := large(seed)
		load.PerSecond *= 1.34
		fixed, adaptive := Run(load, Options{Wait: true}), Run(load, Options{Wait: true, AdaptiveSearch: true})
		t.Logf("fixed %.3f in time, %.3f late, %d far; adaptive %.3f, %.3f, %d",
			fixed.share(fixed.InTime), fixed.share(fixed.Late), fixed.CrossDomainAttempts, adaptive.share(adaptive.InTime), adaptive.share(adaptive.Late), adaptive.CrossDomainAttempts)
		is.True(adaptive.share(adaptive.InTime) > fixed.share(fixed.InTime)+0.005)
		is.True(adaptive.CrossDomainAttempts < fixed.CrossDomainAttempts/2)
	}
}

// Guards against fruitless searches over full targets: under lasting overload, searches bounded
// by the observed acceptance rate must reach fewer other failure domains and serve as many
// callers in time.
func TestFruitlessSearchesEnd(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(seeds) {
		load := large(seed)
		load.PerSecond *= 1.5
		fixed, adaptive := Run(load, Options{Wait: true}), Run(load, Options{Wait: true, AdaptiveSearch: true})
		t.Logf("fixed %.3f in time, %d asks, %d far; adaptive %.3f, %d, %d",
			fixed.share(fixed.InTime), fixed.Attempts, fixed.CrossDomainAttempts, adaptive.share(adaptive.InTime), adaptive.Attempts, adaptive.CrossDomainAttempts)
		is.True(adaptive.CrossDomainAttempts < fixed.CrossDomainAttempts)
		is.True(adaptive.share(adaptive.InTime) > fixed.share(fixed.InTime)-0.01)
	}
}
