package bfroutestat

import (
	"sync"
	"time"
)

// Attempts records requests that were not served, so that a caller's retry can be
// matched to its earlier attempts. The zero value is empty.
//
// A request carries the time left to its caller, not the time already spent. Two
// attempts of one caller are matched by their deadline, which is the same absolute
// time for both.
type Attempts struct {
	mu      sync.Mutex
	byRoute map[string][]Attempt
	// total is the number of attempts of all routes, swept when the expired ones were last removed.
	total int
	swept time.Time
}

// Attempt is a request that was not served.
type Attempt struct {
	// FirstArrival is when the caller's first attempt arrived.
	FirstArrival time.Time
	// RetryAt is the time from which the caller may retry, according to Retry-After.
	RetryAt time.Time
	// Deadline is the end of the caller's own timeout.
	Deadline time.Time
}

const (
	// deadlineEarlyTolerance and deadlineLateTolerance are how far the deadline of a retry may
	// differ from that of the earlier attempt: opening a connection takes a round trip of up to
	// 20 ms, and scheduling delays on a busy host come on top.
	deadlineEarlyTolerance = 10 * time.Millisecond
	deadlineLateTolerance  = 50 * time.Millisecond
	// maxAttemptsPerRoute bounds the attempts kept per route: five seconds at a hundred
	// refusals per second.
	maxAttemptsPerRoute = 512
	// maxAttempts bounds the attempts kept for all routes, of which a configuration may have
	// thousands.
	maxAttempts = 8192
	// minSweepInterval is the minimum time between two removals of expired attempts of all routes.
	minSweepInterval = 100 * time.Millisecond
)

// Record adds a request that was not served and drops expired ones. Beyond maxAttempts it adds
// none: a retry of the request then counts as a first attempt.
func (s *Attempts) Record(route string, a Attempt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = map[string][]Attempt{}
	}
	s.removeExpired(route, now)
	if s.total >= maxAttempts && now.Sub(s.swept) >= minSweepInterval {
		s.swept = now
		for route := range s.byRoute {
			s.removeExpired(route, now)
		}
	}
	kept := s.byRoute[route]
	if len(kept) == maxAttemptsPerRoute {
		kept = append(kept[:0], kept[1:]...)
		s.total--
	}
	if s.total >= maxAttempts {
		return
	}
	s.byRoute[route] = append(kept, a)
	s.total++
}

// removeExpired drops the attempts of a route whose callers have given up. The caller must hold mu.
func (s *Attempts) removeExpired(route string, now time.Time) {
	recorded := s.byRoute[route]
	kept := recorded[:0]
	for _, old := range recorded {
		if now.Before(old.Deadline) {
			kept = append(kept, old)
		}
	}
	s.total -= len(recorded) - len(kept)
	s.keep(route, kept)
}

// keep sets the attempts of a route. The caller must hold mu.
func (s *Attempts) keep(route string, kept []Attempt) {
	if len(kept) == 0 {
		delete(s.byRoute, route)
		return
	}
	s.byRoute[route] = kept
}

// Elapsed returns the time since the first attempt of the caller whose timeout ends
// at deadline, or 0 if this is its first attempt.
func (s *Attempts) Elapsed(route string, deadline, now time.Time) time.Duration {
	earlier, found := s.take(route, deadline, now)
	if !found {
		return 0
	}
	return now.Sub(earlier.FirstArrival)
}

// take finds and removes the earlier attempt of the caller whose timeout ends at
// deadline.
func (s *Attempts) take(route string, deadline, now time.Time) (earlier Attempt, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recorded := s.byRoute[route]
	best, bestDifference := -1, deadlineLateTolerance
	for at, a := range recorded {
		later := deadline.Sub(a.Deadline)
		if now.Before(a.RetryAt) || later < -deadlineEarlyTolerance || later > bestDifference {
			continue
		}
		best, bestDifference = at, max(later, 0)
	}
	if best < 0 {
		return Attempt{}, false
	}
	earlier = recorded[best]
	s.total--
	s.keep(route, append(recorded[:best], recorded[best+1:]...))
	return earlier, true
}
