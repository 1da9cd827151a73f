package bfentry

import (
	"sync"
	"sync/atomic"
)

// means holds a mean for each route; its zero value is empty. Routes come from the configuration, so their number
// is bounded by it.
type means struct{ byRoute sync.Map }

// learnShare is how much one request counts in the mean: about the last ten decide.
const learnShare = 10

func (s *means) learn(route string, value int64) {
	held, _ := s.byRoute.LoadOrStore(route, new(atomic.Int64))
	mean := held.(*atomic.Int64)
	before := mean.Load()
	if before == 0 {
		mean.CompareAndSwap(0, value)
		return
	}
	// A learning that another one overtakes is left out: the next ones make it good.
	mean.CompareAndSwap(before, before+(value-before)/learnShare)
}

// of is the mean for a route, 0 before its first answer.
func (s *means) of(route string) int64 {
	held, found := s.byRoute.Load(route)
	if !found {
		return 0
	}
	return held.(*atomic.Int64).Load()
}
