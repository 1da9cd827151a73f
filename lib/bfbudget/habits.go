package bfbudget

import (
	"maps"
	"sync"
)

// habits is how many calls runs of each class make to each service; its zero value is empty.
type habits struct {
	mu      sync.Mutex
	byClass map[string]map[string]float64
}

// forgetShare is the part by which the most calls of a class come down with each run
// that makes fewer: the last few dozen runs decide.
const forgetShare = 64

// leastCalls is below what a class counts as not calling a service any more.
const leastCalls = 0.05

// of is the most calls that a run of the class made lately, by service.
func (h *habits) of(class string) map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.byClass[class])
}

// learn takes what one run called.
func (h *habits) learn(class string, made map[string]int) {
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
		held = map[string]float64{}
		h.byClass[class] = held
	}
	for service, most := range held {
		held[service] = most - (most-float64(made[service]))/forgetShare
		if held[service] < leastCalls {
			delete(held, service)
		}
	}
	for service, calls := range made {
		held[service] = max(held[service], float64(calls))
	}
}
