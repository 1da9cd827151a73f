package bfemulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against targets that get more than the limits that they name, and against callers that are
// refused for it while other targets have room.
func TestLimitsAreKeptAndCostLittle(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		l := load(t, "limits")
		l.Seed = seed
		r := Simulate(l)
		t.Log(r.LimitExcess(4*time.Second, time.Second, 1.5, 5), r.Rows("", ""))
		is.True(r.LimitExcess(4*time.Second, time.Second, 1.5, 5) <= 0)
		for _, class := range []string{"look-up", "approval", "browse"} {
			o := r.Outcomes(class)
			is.True(o.InTime+o.Late >= o.Callers*97/100) // class
		}
		is.True(r.BudgetExcess("vault") <= 0 && r.BudgetExcess("portal") <= 0)
	}
}

// Guards against a check that finds nothing: without limiters the same load exceeds its limits.
func TestExceededLimitsAreFound(t *testing.T) {
	is := is.New(t)
	r := newReport(load(t, "limits"))
	for at := range 100 {
		target := targetIndex{0, 0}
		r.limited[target] = append(r.limited[target], limitedArrival{at: time.Duration(at) * 50 * time.Millisecond, perSecond: 8})
	}
	is.Equal(r.LimitExcess(4*time.Second, time.Second, 1.5, 5), float64(80-48-5))
}

// Guards against requests for targets that have said that they leave.
func TestLeavingTargetsGetNoRequests(t *testing.T) {
	is := is.New(t)
	l := load(t, "limits")
	r := Simulate(l)
	t.Log(r.ArrivalsAtLeaving)
	leaving := 2 // of the nine targets of the service
	is.True(r.ArrivalsAtLeaving <= leaving*l.Services[1].Slots)
}
