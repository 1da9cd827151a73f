package bfbudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	window = 10 * time.Second
	tick   = 100 * time.Millisecond
)

// class is a kind of request of a simulated fleet.
type class struct {
	name, service string
	// calls are made by each run, with a chance each.
	calls  []int
	chance float64
}

// fleet is a simulated fleet whose nodes decide by their accounts. Each request begins
// at some node and runs at another one, beside which its calls begin.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	terms    Terms
	accounts []*Account
	classes  []class
	// sheds is the share of the arrivals that the targets of a service shed.
	sheds map[string]float64
	// requests and repeats are counted by service and tick, as the users count them.
	requests, repeats map[string][]int
	ticks             int
	served, failed    int
}

func newFleet(seed uint64, nodes, ticks int, terms Terms) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), terms: terms, ticks: ticks,
		sheds: map[string]float64{}, requests: map[string][]int{}, repeats: map[string][]int{},
	}
	for range nodes {
		f.accounts = append(f.accounts, f.account())
	}
	return f
}

func (f *fleet) account() *Account {
	return New(Options{
		Terms: f.terms, Nodes: func() int { return len(f.accounts) }, Now: func() time.Time { return f.now }, Chance: f.random.Float64,
	})
}

func (f *fleet) count(in map[string][]int, service string) {
	if in[service] == nil {
		in[service] = make([]int, f.ticks)
	}
	in[service][f.now.Sub(time.Unix(0, 0))/tick]++
}

func (f *fleet) any() *Account { return f.accounts[f.random.IntN(len(f.accounts))] }

// maxSent is how many targets a request is sent to at most.
const maxSent = 3

// request takes a caller's request to its end, and reports whether it was served.
func (f *fleet) request(entry *Account, kind int) bool {
	c := f.classes[kind]
	f.count(f.requests, c.service)
	entry.Sent(c.service)
	for sent := range maxSent {
		if sent > 0 && !entry.Take(c.service) {
			break
		}
		reached, served := f.send(c, sent, false)
		if !reached && sent > 0 {
			entry.Return(c.service)
		}
		if served || !reached {
			return served
		}
	}
	return false
}

// send has a target run the request; reached is false where its node refuses.
func (f *fleet) send(c class, sent int, inherited bool) (reached, served bool) {
	node := f.any()
	run, ok := node.Begin(c.name, originOf(sent, inherited))
	if !ok {
		return false, false
	}
	defer run.End()
	if sent > 0 || inherited {
		f.count(f.repeats, c.service)
	}
	if f.random.Float64() < f.sheds[c.service] {
		return true, false
	}
	served = true
	if len(c.calls) > 0 && f.random.Float64() < c.chance {
		served = f.together(node, c.calls, run)
	}
	return true, served
}

// together makes calls at once: all are sent before one of those that were shed is repeated.
func (f *fleet) together(node *Account, kinds []int, run *Run) bool {
	missing := []int{}
	for _, kind := range kinds {
		c := f.classes[kind]
		f.count(f.requests, c.service)
		run.Call(c.service)
		if _, served := f.send(c, 0, run.IsRepeat()); !served {
			missing = append(missing, kind)
		}
	}
	for range missing {
		run.Shed("")
	}
	for _, kind := range missing {
		if !f.again(node, kind, run) {
			run.Fail()
		}
	}
	return !run.HasFailed()
}

// again repeats a call until it is served or may not be sent any more.
func (f *fleet) again(node *Account, kind int, run *Run) bool {
	c := f.classes[kind]
	for sent := 1; sent < maxSent && run.Take(c.service); sent++ {
		reached, served := f.send(c, sent, run.IsRepeat())
		switch {
		case served:
			run.EndCall(true)
			return true
		case !reached:
			node.Return(c.service)
			return false
		}
	}
	return false
}

func originOf(sent int, inherited bool) Origin {
	switch {
	case sent > 0:
		return Again{}
	case inherited:
		return Inherited{}
	}
	return First{}
}

// sums are the sums over each window, by the tick at which it begins.
func sums(ticks []int) []int {
	const length = int(window / tick)
	all := []int{}
	for from := 0; from+length <= len(ticks); from++ {
		sum := 0
		for _, n := range ticks[from : from+length] {
			sum += n
		}
		all = append(all, sum)
	}
	return all
}

// excess is by how many repeats the worst window of a service has more than its
// requests allow: those of the window, of the one before it or half before it.
func (f *fleet) excess(service string) (most float64) {
	requests, repeats := sums(f.requests[service]), sums(f.repeats[service])
	const length = int(window / tick)
	for at, sum := range repeats {
		counted := requests[at]
		for _, earlier := range []int{at - length, at - length/2} {
			if earlier >= 0 {
				counted = max(counted, requests[earlier])
			}
		}
		most = max(most, float64(sum)-f.terms.Ratio*float64(counted)-f.terms.Slack)
	}
	return most
}

func (f *fleet) totalRepeats(service string) (sum int) {
	for _, n := range f.repeats[service] {
		sum += n
	}
	return sum
}

// Look-ups of one service call a second one, whose runs may call a third. Targets shed
// anything from nothing to nine tenths; nodes have unequal shares of the callers, and all
// of them may be started anew in the middle. The callers see some look-ups fail. In no
// window may a service get more repeats than the terms allow, nested ones counted.
//
// Without the decision at the target's node the second service gets the calls of each
// repeated look-up on top of all the repeats that its own budget allows.
func TestFleetStaysWithinItsTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 60).Draw(t, "nodes")
		const seconds = 30
		f := newFleet(rapid.Uint64().Draw(t, "seed"), nodes, seconds*int(time.Second/tick),
			Terms{Ratio: 0.2, Slack: 20 + rapid.Float64Range(1, 5).Draw(t, "slack of a node")*float64(nodes), Window: window})
		calls := rapid.IntRange(0, 3).Draw(t, "calls")
		deep := rapid.IntRange(0, 2).Draw(t, "calls of calls")
		f.classes = []class{
			{name: "look-up", service: "portal", calls: repeated(1, calls), chance: rapid.Float64Range(0.3, 1).Draw(t, "chance")},
			{name: "probe", service: "vault", calls: repeated(2, deep), chance: 0.7},
			{name: "page", service: "store"},
			{name: "approval", service: "portal"},
		}
		for _, service := range []string{"portal", "vault", "store"} {
			f.sheds[service] = rapid.Float64Range(0, 0.9).Draw(t, "sheds of "+service)
		}
		perTick := rapid.IntRange(1, 3*nodes).Draw(t, "requests in a tick")
		restart := rapid.IntRange(0, f.ticks).Draw(t, "restart")
		unequal := rapid.Float64Range(1, 4).Draw(t, "unequal")
		loads := rapid.SliceOfN(rapid.IntRange(0, 3), 3, 10).Draw(t, "loads")
		for at := range f.ticks {
			f.now = time.Unix(0, 0).Add(time.Duration(at) * tick)
			if at == restart {
				f.startAnew()
			}
			for range perTick * loads[at*len(loads)/f.ticks] {
				f.request(f.unequalNode(unequal), f.random.IntN(2)*3)
			}
		}
		for _, service := range []string{"portal", "vault", "store"} {
			if over := f.excess(service); over > 0 {
				t.Fatalf("%s has %.0f repeats more than allowed", service, over)
			}
		}
	})
}

// A fleet of one, whose service sheds nine tenths of all it is sent. Lots drawn apart from
// each other gave it 83 repeats in a window for 81 allowed: a node that may save a whole
// repeat has to wait for one.
func TestFleetOfOneWaitsForWholeRepeats(t *testing.T) {
	is := is.New(t)
	f := newFleet(0x3d, 1, 300, Terms{Ratio: 0.2, Slack: 21, Window: window})
	f.classes = []class{{name: "look-up", service: "portal"}, {}, {}, {name: "approval", service: "portal"}}
	f.sheds["portal"] = 0.9
	for at := range f.ticks {
		f.now = time.Unix(0, 0).Add(time.Duration(at) * tick)
		if at == 0 {
			f.startAnew()
		}
		for range 3 {
			f.request(f.unequalNode(3), f.random.IntN(2)*3)
		}
	}
	is.True(f.excess("portal") <= 0)
	is.True(f.totalRepeats("portal") > 100)
}

func repeated(kind, times int) (all []int) {
	for range times {
		all = append(all, kind)
	}
	return all
}

func (f *fleet) startAnew() {
	for i := range f.accounts {
		f.accounts[i] = f.account()
	}
}

// unequalNode draws a node; the higher the power, the more of the requests begin at few.
func (f *fleet) unequalNode(power float64) *Account {
	at := 1.0
	for range int(power) {
		at *= f.random.Float64()
	}
	return f.accounts[int(at*float64(len(f.accounts)))]
}

// shedding plays a fleet of 28 whose look-ups make 1.4 calls each to a service that sheds
// more than a third of them, after a calm in which the nodes saved.
func shedding(seed uint64) *fleet {
	const nodes, seconds = 28, 40
	f := newFleet(seed, nodes, seconds*int(time.Second/tick), Terms{Ratio: 0.2, Slack: 31, Window: window})
	f.classes = []class{
		{name: "look-up", service: "portal", calls: repeated(1, 2), chance: 0.7},
		{name: "probe", service: "vault"},
	}
	for at := range f.ticks {
		f.now = time.Unix(0, 0).Add(time.Duration(at) * tick)
		f.sheds["vault"] = 0
		if f.now.After(time.Unix(15, 0)) && f.now.Before(time.Unix(25, 0)) {
			f.sheds["vault"] = 0.38
		}
		for range 11 {
			if f.request(f.any(), 0) {
				f.served++
			} else {
				f.failed++
			}
		}
	}
	return f
}

// A service sheds a third of its arrivals for ten seconds. Callers see look-ups fail
// whose calls were shed. The repeats go to the shed calls, each of which saves a run,
// and not to look-ups that would make all their calls again; and they are used, though
// one node alone saves less than one.
func TestShedCallsGetTheRepeats(t *testing.T) {
	is := is.New(t)
	f := shedding(7)
	is.True(f.excess("vault") <= 0)
	is.True(f.totalRepeats("vault") > 200) // a third of the 600 or so that are allowed
	is.True(f.totalRepeats("portal") < f.totalRepeats("vault")/4)
	is.True(f.failed < failedAllAlike)
}

// failedAllAlike is how many look-ups of that load fail where all shed calls get a repeat
// alike, whatever else their run lacks (this seed, by the same replay).
const failedAllAlike = 362

// All runs of a class fail at a service whose other class makes no calls and pays for
// the repeats: its callers earn ten times what the failing class does. The service that
// the failing runs call must not get their calls again and again.
func TestCallsArePaidWhereTheyGo(t *testing.T) {
	is := is.New(t)
	const nodes, seconds = 20, 30
	f := newFleet(3, nodes, seconds*int(time.Second/tick), Terms{Ratio: 0.2, Slack: 20, Window: window})
	f.classes = []class{
		{name: "look-up", service: "portal", calls: repeated(1, 10), chance: 1},
		{name: "probe", service: "vault"},
		{name: "approval", service: "portal"},
	}
	f.sheds["vault"] = 0.5
	for at := range f.ticks {
		f.now = time.Unix(0, 0).Add(time.Duration(at) * tick)
		f.request(f.any(), 0)
		for range 20 {
			f.request(f.any(), 2)
		}
	}
	is.True(f.excess("vault") <= 0)
}
