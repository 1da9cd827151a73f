package bfnews

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// holding is a State in memory.
type holding struct {
	mu      sync.Mutex
	spec    bftraffic.Spec
	roster  Roster
	current bool
	fleet   *bffleet.Fleet
}

func (h *holding) Version() bftraffic.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.spec.Version
}

func (h *holding) Revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Revision
}

func (h *holding) Spec() (bftraffic.Spec, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.spec, h.spec.Version > 0
}

func (h *holding) Roster() Roster {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster
}

func (h *holding) TakeSpec(spec bftraffic.Spec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if spec.Version > h.spec.Version {
		h.spec = spec
	}
}

func (h *holding) TakeRoster(roster Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if roster.Revision > h.roster.Revision {
		h.roster = roster
		h.fleet.Replace(roster.Members)
	}
}

func (h *holding) Current() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// start runs a node's exchange; it returns its state and its peer address.
func start(t *testing.T, group *bfgroup.Group, timer *bftimer.Service, current bool) (*holding, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	state := &holding{current: current, fleet: bffleet.New(bffleet.Place{Domain: "nord"})}
	methods := bfpeer.Methods{}
	calls := bfpeer.NewCalls(methods, bfpeer.NewTraffic(bfmetric.New()), group)
	address := listener.Addr().String()
	exchange := New(address, state, state.fleet, calls, timer, group.Go)
	for name, method := range exchange.Methods() {
		methods[name] = method
	}
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, listener) })
	group.Go("exchange", exchange.Run)
	return state, address
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
	spec := bftraffic.Spec{Version: 7, Routes: []bftraffic.RouteSpec{{Name: "r"}}}
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
	held, _ := cut.Spec()
	is.Equal(held, spec)
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
	spec := bftraffic.Spec{Version: 7}
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

func TestNothingNewCostsNothing(t *testing.T) {
	is := is.New(t)
	state := &holding{fleet: bffleet.New(bffleet.Place{Domain: "nord"})}
	state.TakeSpec(bftraffic.Spec{Version: 7})
	e := New("a", state, state.fleet, nil, nil, nil)
	r, err := e.reply(question{Version: 7, Send: true})
	is.NoErr(err)
	is.Equal(r, reply{Version: 7})
	r, err = e.reply(question{Version: 6})
	is.NoErr(err)
	is.Equal(r, reply{Version: 7}) // not asked for
	r, err = e.reply(question{Version: 6, Send: true})
	is.NoErr(err)
	is.True(len(r.Spec) > 0)
	e.take(reply{Spec: []byte("damaged"), Roster: []byte("damaged")})
	is.Equal(state.Version(), bftraffic.Version(7))
}
