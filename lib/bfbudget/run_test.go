package bfbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// alone makes the account of a fleet of one, and what lets a minute pass for it: then what
// was earned lately counts no more in what it may save.
func alone(terms Terms) (a *Account, rest func()) {
	now := time.Unix(0, 0)
	a = New(Options{
		Terms: terms, Nodes: func() int { return 1 }, Now: func() time.Time { return now }, Chance: func() float64 { return 0 },
	})
	return a, func() { now = now.Add(time.Minute) }
}

// sent fills an account by requests to a service.
func sent(a *Account, service string, count int) {
	for range count {
		a.Sent(service)
	}
}

// A run that repeats a request makes its calls again, and the service that they go to
// counts them. What is there for them is taken before the run begins, and what it did
// not use is given back.
func TestRepeatedRunPaysItsCalls(t *testing.T) {
	is := is.New(t)
	a, rest := alone(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	first, ok := a.Begin("look-up", First{})
	is.True(ok)
	first.Call("vault")
	first.Call("vault")
	first.End()
	is.True(!a.begins("look-up")) // two calls would be repeats, and 1.7 are there

	sent(a, "vault", 20)
	rest()
	again, ok := a.Begin("look-up", Again{})
	is.True(ok)
	is.Equal(a.of("vault").value(), 10.0-2) // half of the slack was there
	again.Call("vault")
	again.End()
	is.Equal(a.of("vault").value(), 10.0-1)
}

func (a *Account) begins(class string) bool {
	_, ok := a.Begin(class, Again{})
	return ok
}

// A nested call that is shed is repeated from what is left, while a request that makes
// such calls is not: three quarters of what is saved are kept for calls.
func TestCallsGoBeforeTheirParents(t *testing.T) {
	is := is.New(t)
	a, _ := alone(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	first, _ := a.Begin("look-up", First{})
	first.Call("vault")
	first.End()
	sent(a, "vault", 4) // four of the ten that may be saved
	is.True(!a.begins("look-up"))
	is.True(a.Take("vault"))
}

// A nested call of a repeated run calls on in turn. Refused, it would fail the run that
// was paid for already: it may leave a debt up to a bound, which later requests pay.
func TestInheritedRunsMayLeaveADebt(t *testing.T) {
	is := is.New(t)
	a, _ := alone(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	first, _ := a.Begin("probe", First{})
	first.Call("store")
	first.End()
	for a.of("store").value() > 0 {
		a.of("store").charge(1)
	}
	begun := 0
	for range 20 {
		if run, ok := a.Begin("probe", Inherited{}); ok {
			run.Call("store")
			run.End()
			begun++
		}
	}
	is.Equal(begun, 3)        // to four below nothing at most
	is.True(!a.Take("store")) // nor is any other request repeated there meanwhile
	is.True(a.of("store").value() >= -4)
}

// A repeat was granted, and every node refused the request since it was full: nothing
// reached a target, and the next request may have it.
func TestUnusedRepeatIsReturned(t *testing.T) {
	is := is.New(t)
	a, _ := alone(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	sent(a, "portal", 2)
	is.True(a.Take("portal"))
	is.True(!a.Take("portal"))
	sent(a, "portal", 1)
	a.Return("portal")
	is.True(a.Take("portal"))
}

// A node of a large fleet saves a third of a repeat at most. Each third time that one is
// asked for it sends one, or none would ever be sent; where it may save a whole one it waits.
func TestLotsDivideWhatIsLessThanOne(t *testing.T) {
	is := is.New(t)
	b := &bucket{lots: 0.1}
	now := time.Unix(0, 0)
	third := Terms{Slack: 1 / savedShare / 3, Window: time.Second}
	granted := 0
	for range 300 {
		b.left = 1.0 / 3
		if b.take(1, 0, third, 1, now) {
			granted++
		}
		is.Equal(b.left, 0.0)
	}
	is.Equal(granted, 100)
	b.left = 1.0 / 3
	is.True(!b.take(1, 0, Terms{Slack: 1 / savedShare, Window: time.Second}, 1, now))
	is.Equal(b.left, 1.0/3)
}

// A class makes two calls a run, and none any more after the release of its target.
// Nothing is to be held for them some hundred runs later.
func TestHabitsAreForgotten(t *testing.T) {
	is := is.New(t)
	var h habits
	h.learn("look-up", map[string]int{"vault": 2})
	for range 100 {
		h.learn("look-up", nil)
	}
	is.True(h.of("look-up")["vault"] < 0.5)
	for range 200 {
		h.learn("look-up", nil)
	}
	is.Equal(len(h.of("look-up")), 0)
}

// The fleet was taken for one node, and is one of ten: what the node saved on that
// belief is cut to its true part with the next request.
func TestSavingsFollowTheFleet(t *testing.T) {
	is := is.New(t)
	nodes, now := 1, time.Unix(0, 0)
	a := New(Options{
		Terms: Terms{Ratio: 1, Slack: 20, Window: time.Second}, Nodes: func() int { return nodes },
		Now: func() time.Time { return now }, Chance: func() float64 { return 0 },
	})
	sent(a, "portal", 30)
	nodes, now = 10, now.Add(10*recentSpan)
	sent(a, "portal", 1)
	is.True(a.of("portal").value() < 2) // its tenth of what is saved, and what the last one earned
}

// Two calls of one run are shed, and repeats are scarce: to save the run would cost two.
// One call of another run is shed, and gets what there is.
func TestRunThatLacksOneCallGetsTheRepeat(t *testing.T) {
	is := is.New(t)
	a, rest := alone(Terms{Ratio: 1, Slack: 20, Window: time.Second})
	two, _ := a.Begin("look-up", First{})
	one, _ := a.Begin("look-up", First{})
	for _, run := range []*Run{two, two, one, one} {
		run.Call("vault") // earns 0.85 each
	}
	is.True(two.Shed("vault")) // waits to hear of the other one
	is.True(!two.Shed("vault"))
	is.True(one.Shed("vault"))
	is.True(!two.Take("vault"))
	is.True(one.Take("vault"))
	one.EndCall(true)
	two.Fail()
	is.True(!two.Take("vault")) // it fails all the same
	sent(a, "vault", 20)
	rest()
	is.True(!one.Shed("vault")) // nothing is to be waited for where there is plenty
	again, _ := a.Begin("look-up", First{})
	again.Call("vault")
	again.Call("vault")
	again.Shed("vault")
	again.Shed("vault")
	is.True(again.Take("vault"))
	is.True(again.Take("vault"))
}
