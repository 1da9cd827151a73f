package bfentry

import (
	"sync"
	"time"
)

// attempts remembers requests that were not served, so that a caller who comes
// back is known to have waited; its zero value is empty.
//
// A request says how long its caller waits still and not for how long it has
// waited. What tells two attempts of one caller is that both end at the same
// moment: what is left has shrunk by the time between them.
type attempts struct {
	mu      sync.Mutex
	byRoute map[string][]attempt
}

// attempt is one request that was not served.
type attempt struct {
	// began is when the caller's first attempt came.
	began time.Time
	// due is when the caller was told to come back.
	due time.Time
	// deadline is until when the caller waits.
	deadline time.Time
}

const (
	// deadlineEarlier and deadlineLater are how far the deadlines of two attempts
	// may lie apart: the next attempt opens a new connection first, a round trip
	// of up to 20 ms, on a machine that may be busy.
	deadlineEarlier = 10 * time.Millisecond
	deadlineLater   = 50 * time.Millisecond
	// maxAttempts bounds what is remembered of one route: five seconds of a hundred
	// refusals each.
	maxAttempts = 512
)

// note remembers a request that was not served.
func (s *attempts) note(route string, a attempt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = map[string][]attempt{}
	}
	held := s.byRoute[route]
	kept := held[:0]
	for _, old := range held {
		if now.Before(old.deadline) {
			kept = append(kept, old)
		}
	}
	if len(kept) == maxAttempts {
		kept = append(kept[:0], kept[1:]...)
	}
	s.byRoute[route] = append(kept, a)
}

// used is how long a caller who waits until deadline has waited before, 0 if this
// is its first attempt.
func (s *attempts) used(route string, deadline, now time.Time) time.Duration {
	earlier, found := s.take(route, deadline, now)
	if !found {
		return 0
	}
	return now.Sub(earlier.began)
}

// take finds and forgets the earlier attempt of a caller who waits until deadline.
func (s *attempts) take(route string, deadline, now time.Time) (earlier attempt, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.byRoute[route]
	best, apart := -1, deadlineLater
	for at, a := range held {
		later := deadline.Sub(a.deadline)
		if now.Before(a.due) || later < -deadlineEarlier || later > apart {
			continue
		}
		best, apart = at, max(later, 0)
	}
	if best < 0 {
		return attempt{}, false
	}
	earlier = held[best]
	s.byRoute[route] = append(held[:best], held[best+1:]...)
	return earlier, true
}
