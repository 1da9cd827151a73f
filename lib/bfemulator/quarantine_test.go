package bfemulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that end one target after the other, and others held for running beside them.
func TestRequestsThatEndTargetsAreHeld(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		l := load(t, "ends-targets")
		l.Seed = seed
		r := Play(l)
		t.Log(r.Ends(), r.Rows("", ""))
		is.Equal(r.LateEnds(3, 3*time.Second), 0)
		for _, class := range []string{"check", "nominate", "tariff", "reference"} {
			o := r.Outcomes(class)
			is.True(o.Held*1000 <= o.Callers) // class
		}
		is.True(r.Outcomes("bad").Held > 0)
	}
}

// Guards against requests being held while many targets end for reasons of their own.
func TestOtherEndsOfTargetsHoldNothing(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		l := load(t, "crashes-of-their-own")
		l.Seed = seed
		r := Play(l)
		for _, class := range []string{"check", "nominate", "tariff"} {
			o := r.Outcomes(class)
			is.True(o.Held*1000 <= o.Callers)                     // class
			is.True(o.InTime+o.Late+o.Failed >= o.Callers*99/100) // class
		}
	}
}
