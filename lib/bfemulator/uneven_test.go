package bfemulator

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a failure domain that refuses its many callers while other domains have free slots.
func TestCallersOfAFullDomainAreServedByOthers(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		l := load(t, "uneven-domains")
		l.Seed = seed
		r := Simulate(l)
		t.Log(r.Rows("", ""))
		lookUps := r.Outcomes("look-up")
		is.Equal(lookUps.Refused+lookUps.Failed, 0)
		is.True(lookUps.InTimeShare() > 0.982)
	}
}
