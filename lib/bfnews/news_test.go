package bfnews

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfproof"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// memoryState is a State in memory.
type memoryState struct {
	mu      sync.Mutex
	traffic *bftraffic.Holder
	// specs and deltas count the full configurations and the deltas that were applied.
	specs, deltas int
	// memberDeltas counts the member deltas that were applied.
	memberDeltas int
	roster       Roster
	current      bool
	fleet        *bffleet.Fleet
	address      string
	// restored is the result of StoreRestored.
	restored atomic.Bool
}

func (h *memoryState) Version() bftraffic.Version { return h.traffic.Version() }

func (h *memoryState) Revision() bfstore.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Revision
}

func (h *memoryState) Snapshot() *bftraffic.Snapshot { return h.traffic.Current() }

func (h *memoryState) Recent(version bftraffic.Version) *bftraffic.Snapshot {
	return h.traffic.Recent(version)
}

func (h *memoryState) Roster() Roster {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster
}

func (h *memoryState) ApplySpec(spec bftraffic.Spec) {
	snapshot, err := bftraffic.NewSnapshot(spec)
	if err != nil {
		panic(err)
	}
	if h.traffic.Adopt(snapshot) {
		h.count(&h.specs)
	}
}

func (h *memoryState) ApplyDelta(delta bftraffic.Delta) {
	snapshot, err := h.traffic.Current().Apply(delta)
	if err == nil && h.traffic.Adopt(snapshot) {
		h.count(&h.deltas)
	}
}

func (h *memoryState) count(counter *int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*counter++
}

func (h *memoryState) counts() (specs, deltas int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.specs, h.deltas
}

func (h *memoryState) ApplyRoster(roster Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if roster.Revision > h.roster.Revision {
		h.roster = roster
		h.fleet.Replace(roster.Members)
	}
}

func (h *memoryState) ApplyMembersDelta(delta MembersDelta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if delta.AppliesTo(h.roster.Revision) {
		h.fleet.Change(delta.Changed, delta.Gone)
		h.roster = Roster{Revision: delta.Revision, Members: h.fleet.Members()}
		h.memberDeltas++
	}
}

func (h *memoryState) Current() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *memoryState) setCurrent(current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = current
}

func (h *memoryState) Follows() bool { return h.Current() }

func (h *memoryState) StoreRestored() bool { return h.restored.Load() }

func (h *memoryState) VersionAsOf() bfstore.Revision { return 0 }

func (h *memoryState) ConfirmVersion(bftraffic.Version, bfstore.Revision) {}

// testSpec returns a configuration with one route per name.
func testSpec(version bftraffic.Version, names ...string) bftraffic.Spec {
	spec := bftraffic.Spec{Version: version, Services: []bftraffic.ServiceSpec{{Name: "portal"}}}
	for _, name := range names {
		spec.Routes = append(spec.Routes, bftraffic.RouteSpec{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: bftraffic.Idempotent, Timeout: time.Second,
			MaxAttempts: 1, Destinations: []bftraffic.Destination{{Service: "portal", Weight: 1}},
		})
	}
	return spec
}

// start runs a node's exchange and returns its state and its peer address.
func start(t *testing.T, group *bfgroup.Group, timer *bftimer.Service, current bool) (*memoryState, string) {
	t.Helper()
	state, address, _ := startExchange(t, group, timer, current)
	return state, address
}

func startExchange(t *testing.T, group *bfgroup.Group, timer *bftimer.Service, current bool) (*memoryState, string, *Exchange) {
	t.Helper()
	return startWithProof(t, group, timer, current, nil)
}

func startWithProof(t *testing.T, group *bfgroup.Group, timer *bftimer.Service, current bool, proof *bfproof.Proof) (*memoryState, string, *Exchange) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	state := &memoryState{
		traffic: bftraffic.NewHolder(nil), current: current, address: listener.Addr().String(),
		fleet: bffleet.New(bffleet.Place{Domain: "nord"}),
	}
	methods := bfpeer.Methods{}
	calls := bfpeer.NewCalls(methods, bfpeer.NewTraffic(bfmetric.New()), group)
	address := listener.Addr().String()
	exchange := New(Config{
		Self: address, Place: bffleet.Place{Inbound: address, Domain: "nord"}, State: state, Fleet: state.fleet, Calls: calls, Timer: timer, Logger: bflog.Discard(), Spawn: group.Go,
		Proof: proof, Era: func() uint64 { return 1 },
	})
	for name, method := range exchange.Methods() {
		methods[name] = method
	}
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, listener) })
	group.Go("exchange", exchange.Run)
	return state, address, exchange
}

// The store rejects the calls of a node that has just started without a configuration or
// members, while the others have both. Guards against a node that rejects requests for more
// than a few seconds.
func TestRejectedNodeIsUpdatedByPeers(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	rejected, rejectedAddress := start(t, group, timer, false)
	roster := Roster{Revision: 9, Members: []bffleet.Member{{Inbound: "in-cut", Peer: rejectedAddress}}}
	spec := testSpec(7, "r")
	var others []*memoryState
	for i := range 4 {
		state, address := start(t, group, timer, true)
		roster.Members = append(roster.Members, bffleet.Member{Inbound: fmt.Sprint("in-", i), Peer: address})
		others = append(others, state)
	}
	for _, state := range others {
		state.ApplySpec(spec)
		state.ApplyRoster(roster)
	}
	deadline := time.Now().Add(15 * time.Second)
	for rejected.Version() != 7 || rejected.Revision() != 9 {
		if time.Now().After(deadline) {
			t.Fatalf("the rejected node has version %d and revision %d", rejected.Version(), rejected.Revision())
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(rejected.Snapshot().Spec(), spec)
	is.Equal(len(rejected.Roster().Members), 5)
}

// The store has dropped a node's pending call, so the node counts as current. A member
// with a newer version must bring it up to date.
func TestNodeWithDroppedCallIsUpdatedByPeers(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	stale, staleAddress := start(t, group, timer, true)
	fresh, freshAddress := start(t, group, timer, true)
	spec := testSpec(7)
	roster := Roster{Revision: 9, Members: []bffleet.Member{{Inbound: "a", Peer: staleAddress}, {Inbound: "b", Peer: freshAddress}}}
	stale.ApplyRoster(roster)
	fresh.ApplyRoster(roster)
	fresh.ApplySpec(spec)
	deadline := time.Now().Add(10 * time.Second)
	for stale.Version() != 7 {
		if time.Now().After(deadline) {
			t.Fatal("the node still has its old version")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// The store never completes the node's calls, and all members in the node's list are in
// the same state, so its own polls find nothing. A member outside that list polls it with a newer
// version, which the node must fetch.
func TestNodeWithDroppedCallFetchesFromPoller(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	stale, staleAddress := start(t, group, timer, true)
	fresh, freshAddress := start(t, group, timer, true)
	stale.ApplyRoster(Roster{Revision: 9, Members: []bffleet.Member{{Inbound: "a", Peer: staleAddress}}})
	fresh.ApplyRoster(Roster{Revision: 9, Members: []bffleet.Member{{Inbound: "a", Peer: staleAddress}, {Inbound: "b", Peer: freshAddress}}})
	fresh.ApplySpec(testSpec(7))
	waitFor(t, "the node has the new version", func() bool { return stale.Version() == 7 })
}

func TestReplyContainsOnlyNewerData(t *testing.T) {
	is := is.New(t)
	state := &memoryState{traffic: bftraffic.NewHolder(nil), fleet: bffleet.New(bffleet.Place{Domain: "nord"})}
	state.ApplySpec(testSpec(7))
	e := New(Config{Self: "a", State: state, Fleet: state.fleet})
	r, err := e.buildReply(pollRequest{Version: 7, Send: true})
	is.NoErr(err)
	is.Equal(r, pollReply{Version: 7})
	r, err = e.buildReply(pollRequest{Version: 6})
	is.NoErr(err)
	is.Equal(r, pollReply{Version: 7}) // without Send only the version
	r, err = e.buildReply(pollRequest{Version: 6, Send: true})
	is.NoErr(err)
	is.True(len(r.Spec) > 0)
	state.ApplySpec(testSpec(9, "r"))
	r, err = e.buildReply(pollRequest{Version: 7, Send: true})
	is.NoErr(err)
	is.True(len(r.Spec) == 0 && len(r.Delta) > 0) // a delta, since version 7 is still held
	e.apply(pollReply{Delta: []byte("damaged")})
	e.apply(pollReply{Spec: []byte("damaged"), Roster: []byte("damaged")})
	is.Equal(state.Version(), bftraffic.Version(9))
}

func members(domain string, count int) []bffleet.Member {
	var all []bffleet.Member
	for i := range count {
		all = append(all, bffleet.Member{Inbound: fmt.Sprint(domain, "-", i), Domain: domain, LinkMbps: 5})
	}
	return all
}

// Every node must compute the same plan from the members, in whatever order it lists them: the
// relays of a domain have its fastest links, and the two sources are in different domains.
func TestPlanOfAFleet(t *testing.T) {
	is := is.New(t)
	all := append(append(members("nord", 30), members("sued", 3)...), members("west", 1)...)
	all[17].LinkMbps, all[31].LinkMbps = 100, 50
	p := makePlan("nord", slices.Clone(all))
	is.Equal(len(p.relays), 2*relaysPerDomain+1)
	is.Equal(p.sources, sourcesPerFleet)
	is.Equal([]string{p.relays[0].Inbound, p.relays[1].Inbound}, []string{"nord-17", "sued-1"})
	is.Equal(p.roleOf("nord-17"), source)
	is.Equal(p.roleOf("west-0"), relay)
	is.Equal(p.domain[0].Inbound, "nord-17")
	is.Equal(p.rank(p.domain[1].Inbound), 0) // a relay
	is.Equal(p.rank(p.domain[relaysPerDomain+3].Inbound), 3)
	is.Equal(len(p.downstream("nord-17")), 29+3) // its domain, and the relays of the others
	is.Equal(len(p.downstream(p.domain[1].Inbound)), 29)
	slices.Reverse(all)
	is.Equal(makePlan("nord", all).relays, p.relays)
	is.Equal(makePlan("nord", nil).sources, 0)
	alone := makePlan("nord", members("nord", 3))
	is.Equal([]int{alone.sources, len(alone.relays)}, []int{2, 2}) // there is no other domain
}

// testDomain is a failure domain of running nodes with the same member list.
type testDomain struct {
	states    map[string]*memoryState
	exchanges map[string]*Exchange
	groups    map[string]*bfgroup.Group
	members   []bffleet.Member
	plan      *plan
}

func newDomain(t *testing.T, timer *bftimer.Service, nodes int) *testDomain {
	t.Helper()
	d := &testDomain{states: map[string]*memoryState{}, exchanges: map[string]*Exchange{}, groups: map[string]*bfgroup.Group{}}
	for range nodes {
		group := bfgroup.New(context.Background())
		t.Cleanup(group.Cancel)
		state, address, exchange := startExchange(t, group, timer, true)
		d.states[address], d.exchanges[address], d.groups[address] = state, exchange, group
		d.members = append(d.members, bffleet.Member{Inbound: address, Peer: address, Domain: "nord"})
	}
	d.plan = makePlan("nord", slices.Clone(d.members))
	for _, state := range d.states {
		state.ApplyRoster(Roster{Revision: 1, Members: d.members})
		state.ApplySpec(testSpec(7, "r"))
	}
	return d
}

// readers lists the nodes that read the store.
func (d *testDomain) readers() (all []string) {
	for _, m := range d.plan.domain {
		if d.exchanges[m.Inbound].ReadsStore() {
			all = append(all, m.Inbound)
		}
	}
	return all
}

// hasVersion reports whether all nodes have a version in force.
func (d *testDomain) hasVersion(version bftraffic.Version) bool {
	for _, state := range d.states {
		if state.Version() != version {
			return false
		}
	}
	return true
}

// A delta between two rosters must lead from one to the other, whichever rows change. A node at
// another revision must not apply it, or a row that was added and removed would remain.
func TestMembersDeltaAppliesToItsBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := map[string]bffleet.Member{}
		var states []Roster
		for revision := range bfstore.Revision(rapid.IntRange(2, 12).Draw(t, "revisions")) {
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
		if !delta.AppliesTo(held.Revision) {
			return
		}
		f := bffleet.New(bffleet.Place{})
		f.Replace(held.Members)
		f.Change(delta.Changed, delta.Gone)
		got, want := f.Members(), slices.Clone(last.Members)
		slices.SortFunc(got, compareByLinkSpeed)
		slices.SortFunc(want, compareByLinkSpeed)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// A member is replaced. All members must receive the change promptly, and as a delta instead of
// the full list.
func TestMemberChangesArePushedAsDelta(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 4)
	waitFor(t, "only the sources read the store", func() bool { return len(d.readers()) == sourcesPerFleet })
	last := d.states[d.plan.domain[3].Inbound]
	waitFor(t, "the last follower receives updates", d.exchanges[last.address].ReceivesFresh)
	source := d.plan.relays[0].Inbound
	next := append(slices.Clone(d.members), bffleet.Member{Inbound: "new", Domain: "nord"})
	d.states[source].ApplyRoster(Roster{Revision: 5, Members: next})
	d.exchanges[source].Changed()
	waitFor(t, "all nodes have the new member", func() bool {
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

// The sources receive a version from the store. The others, which do not read the store, must
// receive it as a delta. Then the store rejects the sources' calls: the others must poll their
// peers instead of all reading the store.
func TestSourcesUpdateTheOthers(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 4)
	sources := []string{d.plan.relays[0].Inbound, d.plan.relays[1].Inbound}
	waitFor(t, "only the sources read the store", func() bool { return slices.Equal(d.readers(), sources) })
	last := d.plan.domain[3].Inbound
	waitFor(t, "the last follower receives updates", d.exchanges[last].ReceivesFresh)
	next := testSpec(9, "r", "s")
	next.Routes[0].Rank = 1
	for _, address := range sources {
		d.states[address].ApplySpec(next)
		d.exchanges[address].Changed()
	}
	waitFor(t, "all nodes have the version", func() bool { return d.hasVersion(9) })
	for address, state := range d.states {
		specs, _ := state.counts()
		is.Equal(specs, map[bool]int{true: 2, false: 1}[slices.Contains(sources, address)]) // the initial one, and for a source the one it read
	}
	is.True(d.exchanges[last].ReceivesFresh())
	for _, address := range sources {
		d.states[address].setCurrent(false)
	}
	waitFor(t, "the others detect that no node follows the store", func() bool { return !d.exchanges[last].ReceivesFresh() })
	time.Sleep(receiveTimeout)
	is.Equal(d.readers(), sources)
}

// Both sources of a domain are killed. One follower must read the store within two seconds and
// update the rest; otherwise the calls of all followers would reach the store.
func TestOneFollowerReplacesLostRelays(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 5)
	sources := []string{d.plan.relays[0].Inbound, d.plan.relays[1].Inbound}
	waitFor(t, "only the sources read the store", func() bool { return slices.Equal(d.readers(), sources) })
	last := d.exchanges[d.plan.domain[4].Inbound]
	for _, follower := range d.plan.domain[relaysPerDomain:] {
		// The timeout of one that has received none runs from its start.
		waitFor(t, "all followers receive updates", d.exchanges[follower.Inbound].ReceivesFresh)
	}
	for _, address := range sources {
		d.groups[address].Cancel()
	}
	began := time.Now()
	replacement := d.exchanges[d.plan.domain[2].Inbound]
	waitFor(t, "the first remaining follower reads the store", replacement.ReadsStore)
	is.True(time.Since(began) < 2*time.Second)
	for time.Since(began) < 2*receiveTimeout+maxStaggerSteps*followerStagger {
		is.True(!last.ReadsStore())
		time.Sleep(20 * time.Millisecond)
	}
	is.True(last.ReceivesFresh())
}

// A relay's domain is partitioned from the sources. The relay must read the store itself and
// keep its domain up to date.
func TestRelayReadsStoreWithoutSources(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 4)
	remote := members("sued", 2)
	for i := range remote {
		remote[i].LinkMbps = 100
	}
	for _, state := range d.states {
		state.ApplyRoster(Roster{Revision: 2, Members: append(remote, d.members...)})
	}
	relays := d.plan.domain[:relaysPerDomain]
	waitFor(t, "a relay reads the store", func() bool {
		return d.exchanges[relays[0].Inbound].ReadsStore() || d.exchanges[relays[1].Inbound].ReadsStore()
	})
	waitFor(t, "the others receive its updates", d.exchanges[d.plan.domain[3].Inbound].ReceivesFresh)
	is.True(!d.exchanges[d.plan.domain[3].Inbound].ReadsStore())
}

// A fleet starts for the first time, and one node reads the member list. Guards against every
// node reading the store: all must receive the members from that node and the version from the
// sources.
func TestFirstStartReadsStoreRarely(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	const nodes = 6
	d := &testDomain{states: map[string]*memoryState{}, exchanges: map[string]*Exchange{}}
	for range nodes {
		state, address, exchange := startExchange(t, group, timer, false)
		exchange.firstStart = true
		exchange.firstStartDelay = time.Hour
		d.states[address], d.exchanges[address] = state, exchange
		d.members = append(d.members, bffleet.Member{Inbound: address, Peer: address, Domain: "nord"})
	}
	d.plan = makePlan("nord", slices.Clone(d.members))
	if len(d.readers()) > 0 {
		t.Fatal("a node reads the store at once")
	}
	reader := d.plan.domain[nodes-1].Inbound
	d.exchanges[reader].firstStartDelay = 0
	d.states[reader].ApplyRoster(Roster{Revision: 3, Members: d.members})
	d.exchanges[reader].Changed()
	waitFor(t, "all nodes have the member list", func() bool {
		for _, state := range d.states {
			if state.Revision() != 3 {
				return false
			}
		}
		return true
	})
	first := d.plan.relays[0].Inbound
	waitFor(t, "a source reads the versions", d.exchanges[first].ReadsVersions)
	d.states[first].ApplySpec(testSpec(7, "r"))
	d.exchanges[first].Changed()
	waitFor(t, "all nodes have the version", func() bool { return d.hasVersion(7) })
}

// The store has dropped the calls of the sources, so all members have an old version and
// count as current. When one of them receives a newer version, all must have it
// within the two seconds allowed for a change.
func TestHintReachesFleetWithDroppedSources(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 4)
	fresh, freshAddress := start(t, group, timer, true) // not in any member list
	fresh.ApplySpec(testSpec(9, "r", "s"))
	waitFor(t, "only the sources read the store", func() bool { return len(d.readers()) == sourcesPerFleet })
	began := time.Now()
	d.exchanges[d.plan.domain[3].Inbound].poll(context.Background(), freshAddress, true)
	waitFor(t, "all nodes have the version", func() bool { return d.hasVersion(9) })
	if took := time.Since(began); took > time.Second {
		t.Fatalf("the last node had the version after %v", took)
	}
}

// A node restarts in a running fleet. It reads the store at once, then relies on the relays for
// changes and must read again if it receives none.
func TestStartingNodeWaitsForItsRelays(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	state, address, exchange := startExchange(t, group, timer, true)
	is.True(exchange.ReadsStore())
	all := members("nord", 4)
	for i := range all {
		all[i].LinkMbps = 100
	}
	state.ApplyRoster(Roster{Revision: 1, Members: append(all, bffleet.Member{Inbound: address, Peer: address, Domain: "nord"})})
	is.True(!exchange.ReadsStore())
	is.True(exchange.ReadsVersions()) // its row existed at the start, so its target is running
	state.restored.Store(true)
	is.True(!exchange.ReadsVersions()) // a restored store may hold an older version than its peers
	waitFor(t, "the node reads the store", exchange.ReadsStore)
}

// A new node finds the other members in the store. It must receive the version in force from
// them, and read the store only if none delivers it.
func TestNewNodeReceivesVersionFromPeers(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	d := newDomain(t, timer, 3)
	state, _, exchange := startExchange(t, group, timer, true)
	state.ApplyRoster(Roster{Revision: 1, Members: d.members})
	is.True(!exchange.ReadsVersions())
	waitFor(t, "the node has the version", func() bool { return state.Version() == 7 })
	isolatedState, _, isolated := startExchange(t, group, timer, true)
	isolatedState.ApplyRoster(Roster{Revision: 1, Members: members("nord", 3)}) // none of these answers
	waitFor(t, "the node reads the store", isolated.ReadsVersions)
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until ", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a node that stays behind because its version was written anew with another content, as
// after a restore of the store: the deltas of other nodes don't apply to it.
func TestConfigurationIsFetchedWholeIfItsDeltaDoesNotApply(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	ahead, behind := newProvingNode(&testTime{}, "a", 0), newProvingNode(&testTime{}, "b", 0)
	ahead.state.ApplySpec(testSpec(7, "look", "approve"))
	ahead.state.ApplySpec(testSpec(8, "look", "approve", "open"))
	behind.state.ApplySpec(testSpec(7, "look"))
	var requests []pollRequest
	methods := bfpeer.Methods{Method: {Purpose: bfpeer.Versions, Handle: func(ctx context.Context, params json.RawMessage) (any, error) {
		var request pollRequest
		is.NoErr(json.Unmarshal(params, &request))
		requests = append(requests, request)
		return ahead.handlePoll(ctx, params)
	}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	calls := bfpeer.NewCalls(methods, bfpeer.NewTraffic(bfmetric.New()), group)
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, listener) })
	behind.calls = bfpeer.NewCalls(bfpeer.Methods{}, bfpeer.NewTraffic(bfmetric.New()), group)
	poll := func() {
		_, ok := behind.poll(context.Background(), listener.Addr().String(), true)
		is.True(ok)
	}
	poll()
	is.Equal(behind.state.Version(), bftraffic.Version(7))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := behind.poll(ended, listener.Addr().String(), true)
	is.True(!ok) // a call without a reply is repeated
	_, ok = behind.poll(context.Background(), listener.Addr().String(), false)
	is.True(ok) // one that requests no data changes nothing
	poll()
	is.Equal(behind.state.Version(), bftraffic.Version(8))
	poll()
	is.Equal(requests[len(requests)-1].Version, bftraffic.Version(8)) // deltas again
}
