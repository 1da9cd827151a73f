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

// class is a class of requests in a simulated fleet.
type class struct {
	name, service string
	// calls are the indexes of the classes that a run calls, with a probability of chance.
	calls  []int
	chance float64
}

// fleet is a simulated fleet of nodes with an account each. A request enters at one node
// and runs at another, which sends its nested calls.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	terms    Terms
	accounts []*Account
	classes  []class
	// shedShare is the share of requests that the targets of a service shed.
	shedShare map[string]float64
	// requests and repeats are counts by service and tick.
	requests, repeats map[string][]int
	ticks             int
	served, failed    int
}

func newFleet(seed uint64, nodes, ticks int, terms Terms) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), terms: terms, ticks: ticks,
		shedShare: map[string]float64{}, requests: map[string][]int{}, repeats: map[string][]int{},
	}
	for range nodes {
		f.accounts = append(f.accounts, f.account())
	}
	return f
}

func (f *fleet) account() *Account {
	return New(Options{
		Terms: f.terms, Nodes: func() int { return len(f.accounts) }, Now: func() time.Time { return f.now }, Random: f.random.Float64,
	})
}

func (f *fleet) count(in map[string][]int, service string) {
	if in[service] == nil {
		in[service] = make([]int, f.ticks)
	}
	in[service][f.now.Sub(time.Unix(0, 0))/tick]++
}

func (f *fleet) randomNode() *Account { return f.accounts[f.random.IntN(len(f.accounts))] }

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// request runs a caller's request with its retries, and reports whether it was served.
func (f *fleet) request(entry *Account, kind int) bool {
	c := f.classes[kind]
	f.count(f.requests, c.service)
	entry.Sent(c.service)
	for sent := range maxAttempts {
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

// send makes one attempt; reached is false if the target's node refuses it.
func (f *fleet) send(c class, sent int, inherited bool) (reached, served bool) {
	node := f.randomNode()
	run, ok := node.Begin(c.name, originOf(sent, inherited))
	if !ok {
		return false, false
	}
	defer run.End()
	if sent > 0 || inherited {
		f.count(f.repeats, c.service)
	}
	if f.random.Float64() < f.shedShare[c.service] {
		return true, false
	}
	served = true
	if len(c.calls) > 0 && f.random.Float64() < c.chance {
		served = f.callAll(node, c.calls, run)
	}
	return true, served
}

// callAll makes calls concurrently: all are sent before any shed one is retried.
func (f *fleet) callAll(node *Account, kinds []int, run *Run) bool {
	missing := []int{}
	for _, kind := range kinds {
		c := f.classes[kind]
		f.count(f.requests, c.service)
		run.BeginCall(c.service)
		if _, served := f.send(c, 0, run.IsRepeat()); !served {
			missing = append(missing, kind)
		}
	}
	for range missing {
		run.ShedCall("")
	}
	for _, kind := range missing {
		if !f.retryCall(node, kind, run) {
			run.Fail()
		}
	}
	return !run.HasFailed()
}

// retryCall retries a call until it is served or may not be retried.
func (f *fleet) retryCall(node *Account, kind int, run *Run) bool {
	c := f.classes[kind]
	for sent := 1; sent < maxAttempts && run.Take(c.service); sent++ {
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
		return Retry{}
	case inherited:
		return Inherited{}
	}
	return First{}
}

// sums returns the sum over each window, indexed by its first tick.
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

// excess returns the most repeats beyond the limit in any window of a service. The limit
// is based on the requests of that window, or of the one a half or a whole window earlier.
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

// Guards against a service receiving more repeats in any window than the terms allow,
// including the nested calls of repeats, for random call trees, shed rates and node loads
// and with a restart of all nodes.
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
			f.shedShare[service] = rapid.Float64Range(0, 0.9).Draw(t, "sheds of "+service)
		}
		perTick := rapid.IntRange(1, 3*nodes).Draw(t, "requests in a tick")
		restart := rapid.IntRange(0, f.ticks).Draw(t, "restart")
		unequal := rapid.Float64Range(1, 4).Draw(t, "unequal")
		loads := rapid.SliceOfN(rapid.IntRange(0, 3), 3, 10).Draw(t, "loads")
		for at := range f.ticks {
			f.now = time.Unix(0, 0).Add(time.Duration(at) * tick)
			if at == restart {
				f.restartNodes()
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

// Guards against a node that may save a whole repeat spending fractions instead, which
// can exceed the limit of a window.
func TestSingleNodeWaitsForWholeRepeats(t *testing.T) {
	is := is.New(t)
	f := newFleet(0x3d, 1, 300, Terms{Ratio: 0.2, Slack: 21, Window: window})
	f.classes = []class{{name: "look-up", service: "portal"}, {}, {}, {name: "approval", service: "portal"}}
	f.shedShare["portal"] = 0.9
	for at := range f.ticks {
		f.now = time.Unix(0, 0).Add(time.Duration(at) * tick)
		if at == 0 {
			f.restartNodes()
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

func (f *fleet) restartNodes() {
	for i := range f.accounts {
		f.accounts[i] = f.account()
	}
}

// unequalNode returns a random node; a higher power concentrates requests on fewer nodes.
func (f *fleet) unequalNode(power float64) *Account {
	at := 1.0
	for range int(power) {
		at *= f.random.Float64()
	}
	return f.accounts[int(at*float64(len(f.accounts)))]
}

// simulateShedding simulates a fleet whose look-ups make 1.4 calls on average to a service that
// sheds more than a third of them for ten seconds, after a period without shedding.
func simulateShedding(seed uint64) *fleet {
	const nodes, seconds = 28, 40
	f := newFleet(seed, nodes, seconds*int(time.Second/tick), Terms{Ratio: 0.2, Slack: 31, Window: window})
	f.classes = []class{
		{name: "look-up", service: "portal", calls: repeated(1, 2), chance: 0.7},
		{name: "probe", service: "vault"},
	}
	for at := range f.ticks {
		f.now = time.Unix(0, 0).Add(time.Duration(at) * tick)
		f.shedShare["vault"] = 0
		if f.now.After(time.Unix(15, 0)) && f.now.Before(time.Unix(25, 0)) {
			f.shedShare["vault"] = 0.38
		}
		for range 11 {
			if f.request(f.randomNode(), 0) {
				f.served++
			} else {
				f.failed++
			}
		}
	}
	return f
}

// Guards against repeats going to whole look-ups instead of the shed calls that would
// save them, and against repeats staying unused where a node may save less than one.
func TestRepeatsGoToShedCalls(t *testing.T) {
	is := is.New(t)
	f := simulateShedding(7)
	is.True(f.excess("vault") <= 0)
	is.True(f.totalRepeats("vault") > 200) // a third of those allowed
	is.True(f.totalRepeats("portal") < f.totalRepeats("vault")/4)
	is.True(f.failed < failedWithoutPreference)
}

// failedWithoutPreference is the number of look-ups of this simulation that fail without the
// preference for runs that lack one call only.
const failedWithoutPreference = 362

// Guards against a class that makes no calls paying for retries of another class of the
// same service, whose nested calls would exceed the limit of the service that they go to.
func TestNestedCallsSpendTheirOwnServicesBudget(t *testing.T) {
	is := is.New(t)
	const nodes, seconds = 20, 30
	f := newFleet(3, nodes, seconds*int(time.Second/tick), Terms{Ratio: 0.2, Slack: 20, Window: window})
	f.classes = []class{
		{name: "look-up", service: "portal", calls: repeated(1, 10), chance: 1},
		{name: "probe", service: "vault"},
		{name: "approval", service: "portal"},
	}
	f.shedShare["vault"] = 0.5
	for at := range f.ticks {
		f.now = time.Unix(0, 0).Add(time.Duration(at) * tick)
		f.request(f.randomNode(), 0)
		for range 20 {
			f.request(f.randomNode(), 2)
		}
	}
	is.True(f.excess("vault") <= 0)
}
