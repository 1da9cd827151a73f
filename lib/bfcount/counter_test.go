package bfcount

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// TestMain fixes rapid's seed to make the tests deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// event is a message in transit or a node's timer.
type event struct {
	at   time.Time
	node *node
	call func(now time.Time) []Action
}

// node is a member with its counter and implements the counter's view of the fleet.
type node struct {
	world   *world
	key     bfroster.Key
	inForce bfconfig.Version
	counter *Counter
	// down nodes do not respond, slow ones respond after the timeout.
	down, slow bool
	nonce      uint32
}

func (n *node) Order() *bfroster.Order { return n.world.order }

func (n *node) NewNonce() uint32 {
	n.nonce++
	return n.nonce
}

func (n *node) Split(over bfspan.Span) []bfspan.Span {
	return bfspan.Splitter{Order: n.world.order, Self: n.key, Fanout: 3}.Split(over)
}

func (n *node) Relay(over bfspan.Span, tried []bfroster.Key) (*bfroster.Member, bool) {
	low, high := over.Ranks(n.world.order)
	if low >= high {
		return nil, false
	}
	relay := n.world.order.At(low + n.world.rng.IntN(high-low))
	return relay, relay.Key() != n.key && !slices.Contains(tried, relay.Key())
}

type world struct {
	now        time.Time
	rng        *rand.Rand
	order      *bfroster.Order
	nodes      map[uint64]*node
	events     []event
	done       []Done
	duplicates bool
}

func newWorld(t *rapid.T) *world {
	w := &world{now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5)), nodes: map[uint64]*node{}}
	w.duplicates = rapid.Bool().Draw(t, "twice")
	domains, versions := rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(1, 3).Draw(t, "versions")
	var rows []bfroster.Row
	for i := range rapid.IntRange(1, 60).Draw(t, "size") {
		row := bfroster.Row{ID: fmt.Sprintf("n%02d", i), Domain: fmt.Sprintf("domain-%d", i%domains)}
		rows = append(rows, row)
		n := &node{world: w, key: row.Key(), inForce: bfconfig.Version(w.rng.IntN(versions))}
		n.counter = New(n.key, n.inForce, n)
		w.nodes[n.key.Hash] = n
	}
	w.order = bfroster.NewOrder(rows)
	return w
}

func (w *world) schedule(wait time.Duration, n *node, call func(time.Time) []Action) {
	w.events = append(w.events, event{w.now.Add(wait), n, call})
}

func (w *world) perform(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendQuery:
			w.send(n, w.nodes[a.Relay.Key().Hash], func(to *node, now time.Time) []Action { return to.counter.HandleQuery(now, a.Query) })
		case SendResponse:
			w.send(n, w.nodes[a.To], func(to *node, _ time.Time) []Action { return to.counter.HandleResponse(a.Response) })
		case Done:
			w.done = append(w.done, a)
		}
	}
	if next := n.counter.Next(); !next.IsZero() {
		w.schedule(next.Sub(w.now), n, n.counter.Tick)
	}
}

// send delivers a message, sometimes twice.
func (w *world) send(from, to *node, call func(*node, time.Time) []Action) {
	copies, delay := 1, time.Millisecond
	if from.slow {
		delay = 950 * time.Millisecond
	}
	if w.duplicates && w.rng.IntN(5) == 0 {
		copies = 2
	}
	for range copies {
		jitter := time.Duration(w.rng.IntN(5000)) * time.Microsecond
		w.schedule(delay+jitter, to, func(now time.Time) []Action { return call(to, now) })
	}
}

func (w *world) run(until time.Time) {
	for len(w.events) > 0 {
		i := 0
		for j, e := range w.events {
			if e.at.Before(w.events[i].at) {
				i = j
			}
		}
		e := w.events[i]
		w.events = slices.Delete(w.events, i, i+1)
		if e.at.After(until) {
			return
		}
		w.now = e.at
		if !e.node.down {
			w.perform(e.node, e.call(w.now))
		}
	}
}

// Some members are dead, others respond after the timeout, and messages may be duplicated. The
// census must finish once, within its wait, and account for each member once: it equals a
// direct count if all members respond, and otherwise never exceeds it for any version.
func TestCensusAccountsForEachMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		requester := w.nodes[w.order.At(0).Key().Hash]
		share, dead, slow := rapid.IntRange(0, 3).Draw(t, "share"), 0, 0
		direct := directCount{versions: map[bfconfig.Version]int{}, domains: map[string]DomainCount{}}
		for rank := range w.order.Len() {
			n := w.nodes[w.order.At(rank).Key().Hash]
			direct.add(n)
			switch {
			case n == requester || w.rng.IntN(10) >= share:
			case w.rng.IntN(2) == 0:
				n.down = true
				dead++
			default:
				n.slow = true
				slow++
			}
		}
		const wait = 2 * time.Second
		id, actions := requester.counter.Start(w.now, wait)
		w.perform(requester, actions)
		w.run(w.now.Add(wait))
		if len(w.done) != 1 || w.done[0].ID != id {
			t.Fatalf("results %v, want one with ID %d", w.done, id)
		}
		got := w.done[0].Tally
		if got.Members()+got.Unreachable() != direct.members || got.Unreachable() < dead {
			t.Fatalf("%d members responded and %d did not, of %d with %d dead", got.Members(), got.Unreachable(), direct.members, dead)
		}
		compareTallies(t, got, direct, dead+slow == 0)
	})
}

// directCount counts by inspecting every node.
type directCount struct {
	members  int
	versions map[bfconfig.Version]int
	domains  map[string]DomainCount
}

func (c *directCount) add(n *node) {
	c.members++
	c.versions[n.inForce]++
	d, found := c.domains[n.key.Domain]
	if !found {
		d = DomainCount{Domain: n.key.Domain, Oldest: n.inForce}
	}
	c.domains[n.key.Domain] = DomainCount{Domain: d.Domain, Members: d.Members + 1, Oldest: min(d.Oldest, n.inForce)}
}

func compareTallies(t *rapid.T, got Tally, direct directCount, all bool) {
	for _, v := range got.Versions {
		if v.Members > direct.versions[v.Version] || all && v.Members != direct.versions[v.Version] {
			t.Fatalf("%d members with version %d, of %d", v.Members, v.Version, direct.versions[v.Version])
		}
	}
	for _, d := range got.Domains {
		want := direct.domains[d.Domain]
		if d.Members > want.Members || d.Oldest < want.Oldest || all && d != want {
			t.Fatalf("domain %+v, want %+v", d, want)
		}
	}
}
