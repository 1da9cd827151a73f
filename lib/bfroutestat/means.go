package bfroutestat

import (
	"sync"
	"sync/atomic"
)

// Means holds a moving average for each route; the zero value is empty.
type Means struct {
	byRoute sync.Map
	size    atomic.Int64
}

// maxRouteMeans bounds the averages: routes come and go with the configuration.
const maxRouteMeans = 1 << 14

// meanDivisor sets the weight of one value in the average, 1/meanDivisor.
const meanDivisor = 10

// Add updates the route's average with a value.
func (s *Means) Add(route string, value int64) {
	entry, found := s.byRoute.Load(route)
	if !found {
		entry, found = s.byRoute.LoadOrStore(route, new(atomic.Int64))
	}
	if !found && s.size.Add(1) > maxRouteMeans {
		// The routes in use have an average again after their next requests.
		s.byRoute.Clear()
		s.size.Store(0)
	}
	mean := entry.(*atomic.Int64)
	before := mean.Load()
	if before == 0 {
		mean.CompareAndSwap(0, value)
		return
	}
	// A value that loses the race with a concurrent update is dropped, which the average tolerates.
	mean.CompareAndSwap(before, before+(value-before)/meanDivisor)
}

// Get returns the route's average, 0 before its first value.
func (s *Means) Get(route string) int64 {
	entry, found := s.byRoute.Load(route)
	if !found {
		return 0
	}
	return entry.(*atomic.Int64).Load()
}
