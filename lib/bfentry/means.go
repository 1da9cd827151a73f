package bfentry

import (
	"sync"
	"sync/atomic"
)

// routeMeans holds a moving average for each route; the zero value is empty. Its size is
// bounded by the number of routes in the configuration.
type routeMeans struct{ byRoute sync.Map }

// meanDivisor sets the weight of one value in the average, 1/meanDivisor.
const meanDivisor = 10

// add updates the route's average with a value.
func (s *routeMeans) add(route string, value int64) {
	entry, _ := s.byRoute.LoadOrStore(route, new(atomic.Int64))
	mean := entry.(*atomic.Int64)
	before := mean.Load()
	if before == 0 {
		mean.CompareAndSwap(0, value)
		return
	}
	// A value that loses the race with a concurrent update is dropped, which the average tolerates.
	mean.CompareAndSwap(before, before+(value-before)/meanDivisor)
}

// get returns the route's average, 0 before its first value.
func (s *routeMeans) get(route string) int64 {
	entry, found := s.byRoute.Load(route)
	if !found {
		return 0
	}
	return entry.(*atomic.Int64).Load()
}
