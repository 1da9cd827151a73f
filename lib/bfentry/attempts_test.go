package bfentry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A retry after the advertised delay is matched to its earlier attempt by deadline.
// Guards against matching another caller's first attempt, whose retry delay would be
// far too long.
func TestRetryIsMatchedToItsAttempt(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return began.Add(d) }
	var s attempts
	s.record("route", attempt{firstArrival: began, retryAt: at(200 * time.Millisecond), deadline: at(4 * time.Second)}, at(5*time.Millisecond))

	_, found := s.take("route", at(4*time.Second), at(100*time.Millisecond))
	is.True(!found) // retried before its retry time
	_, found = s.take("route", at(4*time.Second-300*time.Millisecond), at(210*time.Millisecond))
	is.True(!found) // another caller with an earlier deadline
	_, found = s.take("route", at(4*time.Second+210*time.Millisecond), at(210*time.Millisecond))
	is.True(!found) // another caller with the same timeout, counted from now
	_, found = s.take("other", at(4*time.Second), at(210*time.Millisecond))
	is.True(!found) // another route
	earlier, found := s.take("route", at(4*time.Second+16*time.Millisecond), at(210*time.Millisecond))
	is.True(found)
	is.Equal(earlier.firstArrival, began)
	_, found = s.take("route", at(4*time.Second+16*time.Millisecond), at(230*time.Millisecond))
	is.True(!found) // already retried
}

// Attempts of callers that never retry expire, and a burst of refusals keeps no more
// than maxAttemptsPerRoute.
func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	var s attempts
	for i := range 3 * maxAttemptsPerRoute {
		s.record("route", attempt{firstArrival: began, retryAt: began, deadline: began.Add(time.Duration(1+i) * time.Second)}, began)
	}
	is.Equal(len(s.byRoute["route"]), maxAttemptsPerRoute)
	s.record("route", attempt{deadline: began.Add(time.Hour)}, began.Add(59*time.Minute))
	is.Equal(len(s.byRoute["route"]), 1)
}
