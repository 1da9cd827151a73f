package bfemulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that crash one target after the other, and against quarantine of
// requests that only ran at the same time.
func TestRequestsThatCrashTargetsAreQuarantined(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		l := load(t, "ends-targets")
		l.Seed = seed
		r := Simulate(l)
		t.Log(r.Crashes(), r.Rows("", ""))
		is.Equal(r.MaxLateCrashes(3, 3*time.Second), 0)
		for _, class := range []string{"check", "nominate", "tariff", "reference"} {
			o := r.Outcomes(class)
			is.True(o.Quarantined*1000 <= o.Callers) // class
		}
		is.True(r.Outcomes("bad").Quarantined > 0)
	}
}

// Guards against quarantine of requests while many targets crash for other reasons.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		l := load(t, "crashes-of-their-own")
		l.Seed = seed
		r := Simulate(l)
		for _, class := range []string{"check", "nominate", "tariff"} {
			o := r.Outcomes(class)
			is.True(o.Quarantined*1000 <= o.Callers)              // class
			is.True(o.InTime+o.Late+o.Failed >= o.Callers*99/100) // class
		}
	}
}
