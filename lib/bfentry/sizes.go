package bfentry

import (
	"sync"
	"sync/atomic"
)

// sizes holds the mean bytes that a request of each route moves with its answer;
// its zero value is empty. Routes come from the configuration, so their number
// is bounded by it.
type sizes struct{ byRoute sync.Map }

// learnShare is how much one request counts in the mean: about the last ten decide.
const learnShare = 10

func (s *sizes) learn(route string, bytes int) {
	held, _ := s.byRoute.LoadOrStore(route, new(atomic.Int64))
	mean := held.(*atomic.Int64)
	before := mean.Load()
	if before == 0 {
		mean.CompareAndSwap(0, int64(bytes))
		return
	}
	// A learning that another one overtakes is left out: the next ones make it good.
	mean.CompareAndSwap(before, before+(int64(bytes)-before)/learnShare)
}

// of is the mean for a route, 0 before its first answer.
func (s *sizes) of(route string) int {
	held, found := s.byRoute.Load(route)
	if !found {
		return 0
	}
	return int(held.(*atomic.Int64).Load())
}
