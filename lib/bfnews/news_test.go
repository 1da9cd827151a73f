package bfnews

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// holding is a State in memory.
type holding struct {
	mu      sync.Mutex
	traffic *bftraffic.Holder
	// wholes counts the whole configurations that were taken, deltas the rest.
	wholes, deltas int
	// memberDeltas counts the changes of members that were taken.
	memberDeltas int
	roster       Roster
	current      bool
	fleet        *bffleet.Fleet
	address      string
}

func (h *holding) Version() bftraffic.Version { return h.traffic.Version() }

func (h *holding) Revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Revision
}

func (h *holding) Snapshot() *bftraffic.Snapshot { return h.traffic.Current() }

func (h *holding) Recent(version bftraffic.Version) *bftraffic.Snapshot {
	return h.traffic.Recent(version)
}

func (h *holding) Roster() Roster {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster
}

func (h *holding) TakeSpec(spec bftraffic.Spec) {
	snapshot, err := bftraffic.NewSnapshot(spec)
	if err != nil {
		panic(err)
	}
	if h.traffic.Adopt(snapshot) {
		h.count(&h.wholes)
	}
}

func (h *holding) TakeDelta(delta bftraffic.Delta) {
	snapshot, err := h.traffic.Current().Apply(delta)
	if err == nil && h.traffic.Adopt(snapshot) {
		h.count(&h.deltas)
	}
}

func (h *holding) count(what *int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*what++
}

func (h *holding) counts() (wholes, deltas int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wholes, h.deltas
}

func (h *holding) TakeRoster(roster Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if roster.Revision > h.roster.Revision {
		h.roster = roster
		h.fleet.Replace(roster.Members)
	}
}

func (h *holding) TakeMembers(delta MembersDelta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if delta.Fits(h.roster.Revision) {
		h.fleet.Change(delta.Changed, delta.Gone)
		h.roster = Roster{Revision: delta.Revision, Members: h.fleet.Members()}
		h.memberDeltas++
	}
}

func (h *holding) Current() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *holding) setCurrent(current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = current
}

func (h *holding) Follows() bool { return h.Current() }

func (h *holding) VersionAsOf() uint64 { return 0 }

func (h *holding) TakeAsOf(bftraffic.Version, uint64) {}

// configuration is one with a route of each name.
func configuration(version bftraffic.Version, names ...string) bftraffic.Spec {
	spec := bftraffic.Spec{Version: version, Services: []bftraffic.ServiceSpec{{Name: "portal"}}}
	for _, name := range names {
		spec.Routes = append(spec.Routes, bftraffic.RouteSpec{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: bftraffic.Idempotent, Timeout: time.Second,
			MaxAttempts: 1, Destinations: []bftraffic.Destination{{Service: "portal", Weight: 1}},
		})
	}
	return spec
}

// start runs a node's exchange; it returns its state and its peer address.
func start(t *testing.T, group *bfgroup.Group, timer *bftimer.Service, current bool) (*holding, string) {
	t.Helper()
	state, address, _ := startExchange(t, group, timer, current)
	return state, address
}

func startExchange(t *testing.T, group *bfgroup.Group, timer *bftimer.Service, current bool) (*holding, string, *Exchange) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	state := &holding{
		traffic: bftraffic.NewHolder(nil), current: current, address: listener.Addr().String(),
		fleet: bffleet.New(bffleet.Place{Domain: "nord"}),
	}
	methods := bfpeer.Methods{}
	calls := bfpeer.NewCalls(methods, bfpeer.NewTraffic(bfmetric.New()), group)
	address := listener.Addr().String()
	exchange := New(Parts{
		Self: address, Place: bffleet.Place{Inbound: address, Domain: "nord"}, State: state, Fleet: state.fleet, Calls: calls, Timer: timer, Logger: bflog.Discard(), Spawn: group.Go,
	})
	for name, method := range exchange.Methods() {
		methods[name] = method
	}
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, listener) })
	group.Go("exchange", exchange.Run)
	return state, address, exchange
}

// The store turns away a node that has just started: it has no configuration and
// knows no member. The others know it from before. Within a few seconds it must
// hold what they hold, or its callers get nothing but refusals.
func TestNodeThatTheStoreTurnsAwayHearsFromOthers(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	cut, cutAddress := start(t, group, timer, false)
	roster := Roster{Revision: 9, Members: []bffleet.Member{{Inbound: "in-cut", Peer: cutAddress}}}
	spec := configuration(7, "r")
	var others []*holding
	for i := range 4 {
		state, address := start(t, group, timer, true)
		roster.Members = append(roster.Members, bffleet.Member{Inbound: fmt.Sprint("in-", i), Peer: address})
		others = append(others, state)
	}
	for _, state := range others {
		state.TakeSpec(spec)
		state.TakeRoster(roster)
	}
	deadline := time.Now().Add(15 * time.Second)
	for cut.Version() != 7 || cut.Revision() != 9 {
		if time.Now().After(deadline) {
			t.Fatalf("the cut node holds version %d and revision %d", cut.Version(), cut.Revision())
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(cut.Snapshot().Spec(), spec)
	is.Equal(len(cut.Roster().Members), 5)
}

// The store still holds a node's call and has forgotten about it: the node believes
// that it hears of every change. A member that has a newer version tells it.
func TestNodeWhoseFeedIsForgottenHearsFromOthers(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	stale, staleAddress := start(t, group, timer, true)
	fresh, freshAddress := start(t, group, timer, true)
	spec := configuration(7)
	roster := Roster{Revision: 9, Members: []bffleet.Member{{Inbound: "a", Peer: staleAddress}, {Inbound: "b", Peer: freshAddress}}}
	stale.TakeRoster(roster)
	fresh.TakeRoster(roster)
	fresh.TakeSpec(spec)
	deadline := time.Now().Add(10 * time.Second)
	for stale.Version() != 7 {
		if time.Now().After(deadline) {
			t.Fatal("the node stays at its old version")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A caller is treated by an old version for as long as the store holds the node's
// calls without a word. The node takes itself for current and knows only members
// that are in the same state, so that its own questions bring nothing. One that it
// doesn't know asks it, with a newer version: the node has to ask back.
func TestNodeWhoseFeedIsForgottenAsksBack(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	stale, staleAddress := start(t, group, timer, true)
	fresh, freshAddress := start(t, group, timer, true)
	stale.TakeRoster(Roster{Revision: 9, Members: []bffleet.Member{{Inbound: "a", Peer: staleAddress}}})
	fresh.TakeRoster(Roster{Revision: 9, Members: []bffleet.Member{{Inbound: "a", Peer: staleAddress}, {Inbound: "b", Peer: freshAddress}}})
	fresh.TakeSpec(configuration(7))
	await(t, "the node holds the new version", func() bool { return stale.Version() == 7 })
}

func TestNothingNewCostsNothing(t *testing.T) {
	is := is.New(t)
	state := &holding{traffic: bftraffic.NewHolder(nil), fleet: bffleet.New(bffleet.Place{Domain: "nord"})}
	state.TakeSpec(configuration(7))
	e := New(Parts{Self: "a", State: state, Fleet: state.fleet})
	r, err := e.reply(question{Version: 7, Send: true})
	is.NoErr(err)
	is.Equal(r, reply{Version: 7})
	r, err = e.reply(question{Version: 6})
	is.NoErr(err)
	is.Equal(r, reply{Version: 7}) // not asked for
	r, err = e.reply(question{Version: 6, Send: true})
	is.NoErr(err)
	is.True(len(r.Spec) > 0)
	state.TakeSpec(configuration(9, "r"))
	r, err = e.reply(question{Version: 7, Send: true})
	is.NoErr(err)
	is.True(len(r.Spec) == 0 && len(r.Delta) > 0) // it remembers what the other one holds
	e.take(reply{Delta: []byte("damaged")})
	e.take(reply{Spec: []byte("damaged"), Roster: []byte("damaged")})
	is.Equal(state.Version(), bftraffic.Version(9))
}

func members(domain string, count int) []bffleet.Member {
	var all []bffleet.Member
	for i := range count {
		all = append(all, bffleet.Member{Inbound: fmt.Sprint(domain, "-", i), Domain: domain, LinkMbps: 5})
	}
	return all
}

// Who reads the store follows from the members alone, in whatever order they are known:
// the relays of each domain are those with the fastest links, and the sources two of them
// in different domains.
func TestPlanOfAFleet(t *testing.T) {
	is := is.New(t)
	all := append(append(members("nord", 30), members("sued", 3)...), members("west", 1)...)
	all[17].LinkMbps, all[31].LinkMbps = 100, 50
	p := makePlan("nord", slices.Clone(all))
	is.Equal(len(p.relays), 2*relaysPerDomain+1)
	is.Equal(p.sources, sourcesPerFleet)
	is.Equal([]string{p.relays[0].Inbound, p.relays[1].Inbound}, []string{"nord-17", "sued-1"})
	is.Equal(p.standing("nord-17"), source)
	is.Equal(p.standing("west-0"), relay)
	is.Equal(p.domain[0].Inbound, "nord-17")
	is.Equal(p.rank(p.domain[1].Inbound), 0) // a relay
	is.Equal(p.rank(p.domain[relaysPerDomain+3].Inbound), 3)
	is.Equal(len(p.told("nord-17")), 29+3) // its domain, and the relays of the others
	is.Equal(len(p.told(p.domain[1].Inbound)), 29)
	slices.Reverse(all)
	is.Equal(makePlan("nord", all).relays, p.relays)
	is.Equal(makePlan("nord", nil).sources, 0)
	alone := makePlan("nord", members("nord", 3))
	is.Equal([]int{alone.sources, len(alone.relays)}, []int{2, 2}) // no other domain is there
}

// domain is a failure domain of running nodes that know each other.
type domain struct {
	states    map[string]*holding
	exchanges map[string]*Exchange
	groups    map[string]*bfgroup.Group
	members   []bffleet.Member
	plan      *plan
}

func newDomain(t *testing.T, timer *bftimer.Service, nodes int) *domain {
	t.Helper()
	d := &domain{states: map[string]*holding{}, exchanges: map[string]*Exchange{}, groups: map[string]*bfgroup.Group{}}
	for range nodes {
		group := bfgroup.New(context.Background())
		t.Cleanup(group.Cancel)
		state, address, exchange := startExchange(t, group, timer, true)
		d.states[address], d.exchanges[address], d.groups[address] = state, exchange, group
		d.members = append(d.members, bffleet.Member{Inbound: address, Peer: address, Domain: "nord"})
	}
	d.plan = makePlan("nord", slices.Clone(d.members))
	for _, state := range d.states {
		state.TakeRoster(Roster{Revision: 1, Members: d.members})
		state.TakeSpec(configuration(7, "r"))
	}
	return d
}

// reading lists who reads the store.
func (d *domain) reading() (all []string) {
	for _, m := range d.plan.domain {
		if d.exchanges[m.Inbound].Reads() {
			all = append(all, m.Inbound)
		}
	}
	return all
}

// hold reports whether all nodes hold a version.
func (d *domain) hold(version bftraffic.Version) bool {
	for _, state := range d.states {
		if state.Version() != version {
			return false
		}
	}
	return true
}

// Whatever rows change between two rosters, the delta leads from one to the other; who
// holds another state does not take it, or a row that came and went would stay.
func TestMembersDeltaLeadsOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := map[string]bffleet.Member{}
		var states []Roster
		for revision := range uint64(rapid.IntRange(2, 12).Draw(t, "revisions")) {
			key := fmt.Sprint("in-", rapid.IntRange(0, 4).Draw(t, "row"))
			if rapid.Bool().Draw(t, "removed") {
				delete(rows, key)
			} else {
				rows[key] = bffleet.Member{Inbound: key, Revision: revision + 1}
			}
			states = append(states, Roster{Revision: revision + 1, Members: slices.Collect(maps.Values(rows))})
		}
		last := states[len(states)-1]
		delta := membersDelta(states[rapid.IntRange(0, len(states)-2).Draw(t, "from")], last)
		held := states[rapid.IntRange(0, len(states)-1).Draw(t, "held")]
		if !delta.Fits(held.Revision) {
			return
		}
		f := bffleet.New(bffleet.Place{})
		f.Replace(held.Members)
		f.Change(delta.Changed, delta.Gone)
		got, want := f.Members(), slices.Clone(last.Members)
		slices.SortFunc(got, order)
		slices.SortFunc(want, order)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// One target of a domain leaves and another one comes. All members hear of it within a
// moment, and none has to ask for the whole list.
func TestMembersAreToldByWhatChanged(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 4)
	await(t, "the sources alone read", func() bool { return len(d.reading()) == sourcesPerFleet })
	last := d.states[d.plan.domain[3].Inbound]
	await(t, "the last one hears", d.exchanges[last.address].HearsFresh)
	source := d.plan.relays[0].Inbound
	next := append(slices.Clone(d.members), bffleet.Member{Inbound: "new", Domain: "nord"})
	d.states[source].TakeRoster(Roster{Revision: 5, Members: next})
	d.exchanges[source].Changed()
	await(t, "all know the new one", func() bool {
		for _, state := range d.states {
			if state.Revision() != 5 {
				return false
			}
		}
		return true
	})
	last.mu.Lock()
	defer last.mu.Unlock()
	is.Equal(last.memberDeltas, 1)
}

// The sources hear a version from the store. The others do not read it themselves and
// must hold it within a second, by what changed alone. Then the store turns the sources
// away: the others ask their neighbours, and do not all turn to the store.
func TestSourcesTellTheOthers(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 4)
	sources := []string{d.plan.relays[0].Inbound, d.plan.relays[1].Inbound}
	await(t, "the sources alone read", func() bool { return slices.Equal(d.reading(), sources) })
	next := configuration(9, "r", "s")
	next.Routes[0].Rank = 1
	for _, address := range sources {
		d.states[address].TakeSpec(next)
		d.exchanges[address].Changed()
	}
	await(t, "all hold the version", func() bool { return d.hold(9) })
	for address, state := range d.states {
		wholes, _ := state.counts()
		is.Equal(wholes, map[bool]int{true: 2, false: 1}[slices.Contains(sources, address)]) // the first one, and what sources read
	}
	last := d.plan.domain[3].Inbound
	is.True(d.exchanges[last].HearsFresh())
	for _, address := range sources {
		d.states[address].setCurrent(false)
	}
	await(t, "the others know that nobody follows the store", func() bool { return !d.exchanges[last].HearsFresh() })
	time.Sleep(silence)
	is.Equal(d.reading(), sources)
}

// Both nodes that read for a domain are killed. One of the others has to read within two
// seconds, and the rest hear from it: the store would else get the calls of all, twice.
func TestOneDeputyReadsForTheOthers(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 5)
	sources := []string{d.plan.relays[0].Inbound, d.plan.relays[1].Inbound}
	await(t, "the sources alone read", func() bool { return slices.Equal(d.reading(), sources) })
	last := d.exchanges[d.plan.domain[4].Inbound]
	await(t, "the last one hears", last.HearsFresh)
	for _, address := range sources {
		d.groups[address].Cancel()
	}
	began := time.Now()
	deputy := d.exchanges[d.plan.domain[2].Inbound]
	await(t, "the first one left reads", deputy.Reads)
	is.True(time.Since(began) < 2*time.Second)
	for time.Since(began) < 2*silence+mostDeputySteps*deputyStep {
		is.True(!last.Reads())
		time.Sleep(20 * time.Millisecond)
	}
	is.True(last.HearsFresh())
}

// A relay's sources fall silent, since its domain is cut off from theirs. It reads the
// store itself, and tells its domain as before.
func TestRelayReadsWhereItsSourcesAreSilent(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 4)
	far := members("sued", 2)
	for i := range far {
		far[i].LinkMbps = 100
	}
	for _, state := range d.states {
		state.TakeRoster(Roster{Revision: 2, Members: append(far, d.members...)})
	}
	relays := d.plan.domain[:relaysPerDomain]
	await(t, "a relay reads", func() bool { return d.exchanges[relays[0].Inbound].Reads() || d.exchanges[relays[1].Inbound].Reads() })
	await(t, "the others hear it", d.exchanges[d.plan.domain[3].Inbound].HearsFresh)
	is.True(!d.exchanges[d.plan.domain[3].Inbound].Reads())
}

// A fleet of nodes starts for the first time; its table holds a row for each of them once
// their targets have spoken. One of them looks who is there. All must know each other
// soon, and hold the version that the sources read, without looking on their own.
func TestFirstStartCostsFewLooks(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	const nodes = 6
	d := &domain{states: map[string]*holding{}, exchanges: map[string]*Exchange{}}
	for range nodes {
		state, address, exchange := startExchange(t, group, timer, false)
		exchange.first = true
		exchange.meeting = time.Hour
		d.states[address], d.exchanges[address] = state, exchange
		d.members = append(d.members, bffleet.Member{Inbound: address, Peer: address, Domain: "nord"})
	}
	d.plan = makePlan("nord", slices.Clone(d.members))
	if len(d.reading()) > 0 {
		t.Fatal("somebody looks at once")
	}
	looking := d.plan.domain[nodes-1].Inbound
	d.exchanges[looking].meeting = 0
	d.states[looking].TakeRoster(Roster{Revision: 3, Members: d.members})
	d.exchanges[looking].Changed()
	await(t, "all know each other", func() bool {
		for _, state := range d.states {
			if state.Revision() != 3 {
				return false
			}
		}
		return true
	})
	first := d.plan.relays[0].Inbound
	await(t, "a source reads the versions", d.exchanges[first].ReadsVersions)
	d.states[first].TakeSpec(configuration(7, "r"))
	d.exchanges[first].Changed()
	await(t, "all hold the version", func() bool { return d.hold(7) })
}

// The store forgot the calls of the sources: all members hold an old version and take
// themselves for current. One of them learns of a newer version from elsewhere. All must
// hold it well within the two seconds of a change, and not each when it happens to ask the
// right node.
func TestFleetWhoseSourcesAreForgottenIsHinted(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 4)
	fresh, freshAddress := start(t, group, timer, true) // nobody knows it
	fresh.TakeSpec(configuration(9, "r", "s"))
	await(t, "the sources alone read", func() bool { return len(d.reading()) == sourcesPerFleet })
	began := time.Now()
	d.exchanges[d.plan.domain[3].Inbound].put(context.Background(), freshAddress, true)
	await(t, "all hold the version", func() bool { return d.hold(9) })
	if took := time.Since(began); took > time.Second {
		t.Fatalf("it took %v", took)
	}
}

// A node is started again. It looks at once who is there and what is in force, since its
// callers wait; then others are about to tell it of changes, so it does not follow the
// store too. If none is heard it reads again.
func TestStartingNodeWaitsForItsRelays(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	state, address, exchange := startExchange(t, group, timer, true)
	is.True(exchange.Reads())
	all := members("nord", 4)
	for i := range all {
		all[i].LinkMbps = 100
	}
	state.TakeRoster(Roster{Revision: 1, Members: append(all, bffleet.Member{Inbound: address, Peer: address, Domain: "nord"})})
	is.True(!exchange.Reads())
	is.True(exchange.ReadsVersions()) // its row was there: its target is
	await(t, "it reads itself", exchange.Reads)
}

// A node is new to a fleet and finds the others in the store. They bring it the version
// in force, and it reads the store only where none does.
func TestNewNodeIsBroughtTheVersion(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 3)
	state, _, exchange := startExchange(t, group, timer, true)
	state.TakeRoster(Roster{Revision: 1, Members: d.members})
	is.True(!exchange.ReadsVersions())
	await(t, "it holds the version", func() bool { return state.Version() == 7 })
	alone, _, stranded := startExchange(t, group, timer, true)
	alone.TakeRoster(Roster{Revision: 1, Members: members("nord", 3)}) // nobody answers
	await(t, "it reads itself", stranded.ReadsVersions)
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("not in time: ", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
