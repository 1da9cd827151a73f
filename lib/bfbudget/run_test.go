package bfbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// singleNode returns the account of a fleet of one node, and a function that advances its
// clock by a minute, after which recent earnings no longer raise the ceiling.
func singleNode(terms Terms) (a *Account, advanceMinute func()) {
	now := time.Unix(0, 0)
	a = New(Options{
		Terms: terms, Nodes: func() int { return 1 }, Now: func() time.Time { return now }, Random: func() float64 { return 0 },
	})
	return a, func() { now = now.Add(time.Minute) }
}

// sendMany counts a number of requests to a service.
func sendMany(a *Account, service string, count int) {
	for range count {
		a.Sent(service)
	}
}

// Guards against a repeat starting without repeats for its nested calls, and against
// losing those that it reserves and doesn't use.
func TestRepeatReservesItsNestedCalls(t *testing.T) {
	is := is.New(t)
	a, rest := singleNode(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	first, ok := a.Begin("look-up", First{})
	is.True(ok)
	first.BeginCall("vault")
	first.BeginCall("vault")
	first.End()
	is.True(!a.begins("look-up")) // needs two repeats, and 1.7 are left

	sendMany(a, "vault", 20)
	rest()
	again, ok := a.Begin("look-up", Retry{})
	is.True(ok)
	is.Equal(a.bucketOf("vault").current(), 10.0-2) // half of the slack was saved
	again.BeginCall("vault")
	again.End()
	is.Equal(a.bucketOf("vault").current(), 10.0-1)
}

func (a *Account) begins(class string) bool {
	_, ok := a.Begin(class, Retry{})
	return ok
}

// Guards against repeats of whole requests spending the savings reserved for shed calls.
func TestSavingsAreReservedForShedCalls(t *testing.T) {
	is := is.New(t)
	a, _ := singleNode(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	first, _ := a.Begin("look-up", First{})
	first.BeginCall("vault")
	first.End()
	sendMany(a, "vault", 4) // of at most ten saved
	is.True(!a.begins("look-up"))
	is.True(a.Take("vault"))
}

// Guards against refusing a nested call of a repeat, which would waste the parent run, and
// against an unbounded debt for such calls.
func TestInheritedRunsLeaveBoundedDebt(t *testing.T) {
	is := is.New(t)
	a, _ := singleNode(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	first, _ := a.Begin("probe", First{})
	first.BeginCall("store")
	first.End()
	for a.bucketOf("store").current() > 0 {
		a.bucketOf("store").charge(1)
	}
	begun := 0
	for range 20 {
		if run, ok := a.Begin("probe", Inherited{}); ok {
			run.BeginCall("store")
			run.End()
			begun++
		}
	}
	is.Equal(begun, 3)        // the balance stays at -4 or above
	is.True(!a.Take("store")) // no other repeats while in debt
	is.True(a.bucketOf("store").current() >= -4)
}

// Guards against losing a repeat that was taken but reached no target.
func TestUnusedRepeatIsReturned(t *testing.T) {
	is := is.New(t)
	a, _ := singleNode(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	sendMany(a, "portal", 2)
	is.True(a.Take("portal"))
	is.True(!a.Take("portal"))
	sendMany(a, "portal", 1)
	a.Return("portal")
	is.True(a.Take("portal"))
}

// Guards against a node that may save only a third of a repeat never sending any: every
// third take must succeed. A node that may save a whole one waits for it.
func TestFractionsAddUpToRepeats(t *testing.T) {
	is := is.New(t)
	b := &bucket{fraction: 0.1}
	now := time.Unix(0, 0)
	third := Terms{Slack: 1 / savedShare / 3, Window: time.Second}
	granted := 0
	for range 300 {
		b.balance = 1.0 / 3
		if b.take(1, 0, third, 1, now) {
			granted++
		}
		is.Equal(b.balance, 0.0)
	}
	is.Equal(granted, 100)
	b.balance = 1.0 / 3
	is.True(!b.take(1, 0, Terms{Slack: 1 / savedShare, Window: time.Second}, 1, now))
	is.Equal(b.balance, 1.0/3)
}

// Guards against reserving repeats for calls that a class no longer makes.
func TestCallCountsDecay(t *testing.T) {
	is := is.New(t)
	var h callCounts
	h.record("look-up", map[string]int{"vault": 2})
	for range 100 {
		h.record("look-up", nil)
	}
	is.True(h.estimate("look-up")["vault"] < 0.5)
	for range 200 {
		h.record("look-up", nil)
	}
	is.Equal(len(h.estimate("look-up")), 0)
}

// Guards against a node keeping savings above its part when the fleet grows.
func TestSavingsShrinkAsFleetGrows(t *testing.T) {
	is := is.New(t)
	nodes, now := 1, time.Unix(0, 0)
	a := New(Options{
		Terms: Terms{Ratio: 1, Slack: 20, Window: time.Second}, Nodes: func() int { return nodes },
		Now: func() time.Time { return now }, Random: func() float64 { return 0 },
	})
	sendMany(a, "portal", 30)
	nodes, now = 10, now.Add(10*recentSpan)
	sendMany(a, "portal", 1)
	is.True(a.bucketOf("portal").current() < 2) // a tenth of the savings, and the last request's earnings
}

// Guards against scarce repeats going to a run that lacks two calls before one that lacks
// one.
func TestRunLackingOneCallIsPreferred(t *testing.T) {
	is := is.New(t)
	a, rest := singleNode(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	two, _ := a.Begin("look-up", First{})
	one, _ := a.Begin("look-up", First{})
	for _, run := range []*Run{two, two, one, one} {
		run.BeginCall("vault") // earns 0.85 each
	}
	is.True(two.ShedCall("vault")) // awaits the other call
	is.True(!two.ShedCall("vault"))
	is.True(one.ShedCall("vault"))
	is.True(!two.Take("vault"))
	is.True(one.Take("vault"))
	one.EndCall(true)
	two.Fail()
	is.True(!two.Take("vault")) // it fails anyway
	sendMany(a, "vault", 20)
	rest()
	is.True(!one.ShedCall("vault")) // no need to wait with repeats to spare
	again, _ := a.Begin("look-up", First{})
	again.BeginCall("vault")
	again.BeginCall("vault")
	again.ShedCall("vault")
	again.ShedCall("vault")
	is.True(again.Take("vault"))
	is.True(again.Take("vault"))
}
