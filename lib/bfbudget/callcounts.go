package bfbudget

import (
	"maps"
	"sync"
)

// callCounts estimates how many calls a run of each class makes to each service. Its
// zero value is empty.
type callCounts struct {
	mu      sync.Mutex
	byClass map[string]map[string]float64
}

// decayRuns is the number of runs over which the estimate of a class decays towards runs
// that make fewer calls.
const decayRuns = 64

// maxClasses bounds the classes: routes come and go with the configuration.
const maxClasses = 1 << 14

// minCalls is the estimate below which a class counts as not calling a service.
const minCalls = 0.05

// estimate returns the recent maximum of calls that one run of the class makes, by service.
func (h *callCounts) estimate(class string) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.byClass[class])
}

// record takes the number of calls that one run made to each service.
func (h *callCounts) record(class string, made map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.byClass[class]
	if held == nil && len(made) == 0 {
		return
	}
	if held == nil {
		if h.byClass == nil {
			h.byClass = map[string]map[string]float64{}
		}
		if len(h.byClass) >= maxClasses {
			clear(h.byClass)
		}
		held = map[string]float64{}
		h.byClass[class] = held
	}
	for service, most := range held {
		held[service] = most - (most-float64(made[service]))/decayRuns
		if held[service] < minCalls {
			delete(held, service)
		}
	}
	for service, calls := range made {
		held[service] = max(held[service], float64(calls))
	}
}
