package bfentry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller is refused and comes back when told. What it allows has shrunk by the
// time between, so both attempts end at one moment; a caller whose first attempt
// happens to allow less is not taken for it, or it would be told to come back far
// too late.
func TestCallerThatComesBackIsKnown(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return began.Add(d) }
	var s attempts
	s.note("route", attempt{began: began, due: at(200 * time.Millisecond), deadline: at(4 * time.Second)}, at(5*time.Millisecond))

	_, found := s.take("route", at(4*time.Second), at(100*time.Millisecond))
	is.True(!found) // came before it was told to
	_, found = s.take("route", at(4*time.Second-300*time.Millisecond), at(210*time.Millisecond))
	is.True(!found) // another caller, who allows less
	_, found = s.take("route", at(4*time.Second+210*time.Millisecond), at(210*time.Millisecond))
	is.True(!found) // another caller, who allows as much from now
	_, found = s.take("other", at(4*time.Second), at(210*time.Millisecond))
	is.True(!found) // another route
	earlier, found := s.take("route", at(4*time.Second+16*time.Millisecond), at(210*time.Millisecond))
	is.True(found)
	is.Equal(earlier.began, began)
	_, found = s.take("route", at(4*time.Second+16*time.Millisecond), at(230*time.Millisecond))
	is.True(!found) // came back already
}

// Callers that never come back are forgotten once their time is over, and a storm
// of refusals keeps no more than a bound.
func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	var s attempts
	for i := range 3 * maxAttempts {
		s.note("route", attempt{began: began, due: began, deadline: began.Add(time.Duration(1+i) * time.Second)}, began)
	}
	is.Equal(len(s.byRoute["route"]), maxAttempts)
	s.note("route", attempt{deadline: began.Add(time.Hour)}, began.Add(59*time.Minute))
	is.Equal(len(s.byRoute["route"]), 1)
}
