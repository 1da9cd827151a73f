package bfretry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A service sheds everything it gets, and each of twelve nodes would send all of
// it again. In no window may the repeats of all nodes together exceed what the
// terms allow, nor after an hour of quiet.
func TestFleetStaysWithinItsTerms(t *testing.T) {
	is := is.New(t)
	const nodes, perSecond, seconds = 12, 30, 60
	terms := Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	budgets := make([]FleetBudget, nodes)
	start := time.Unix(0, 0)
	var repeats [seconds]int
	for second := range seconds {
		for i := range budgets {
			for range perSecond {
				budgets[i].Earn(terms)
				if budgets[i].Take(terms, nodes, start.Add(time.Duration(second)*time.Second)) {
					repeats[second]++
				}
			}
		}
	}
	const window = 10
	allowed := int(terms.Ratio*nodes*perSecond*window + terms.Slack)
	for from := range seconds - window {
		sum := 0
		for _, n := range repeats[from : from+window] {
			sum += n
		}
		is.True(sum <= allowed)
		is.True(sum > allowed/3) // and repeats are not merely refused
	}
}

func TestChargedRepeatsLeaveADebt(t *testing.T) {
	is := is.New(t)
	terms := Terms{Ratio: 0.5, Slack: 0, Window: time.Second}
	var b FleetBudget
	for range 10 {
		b.Earn(terms)
	}
	b.Charge()
	b.Charge()
	b.Charge()
	is.True(!b.Take(terms, 1, time.Unix(0, 0)))
	for range 4 {
		b.Earn(terms)
	}
	is.True(b.Take(terms, 1, time.Unix(0, 0)))
}
