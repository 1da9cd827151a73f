package bfemulator

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against slots of a scarce service that are held by requests whose nested calls wait behind
// long requests of the service that they call.
func TestNestedCallsPassLongRequestsOfABusyCallee(t *testing.T) {
	is := is.New(t)
	const seeds = 3
	lookUps, browse := 0.0, 0.0
	for seed := range uint64(seeds) {
		l := load(t, "busy-callee")
		l.Seed = seed
		r := Simulate(l)
		t.Log(r.Rows("", ""))
		lookUps += r.Outcomes("look-up").InTimeShare() / seeds
		browse += r.Outcomes("browse").InTimeShare() / seeds
	}
	is.True(lookUps > 0.958)
	is.True(browse > 0.97)
}
