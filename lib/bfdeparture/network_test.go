package bfdeparture

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bftimer"
)

// cluster holds the keepers of a node and delivers its calls to them.
type cluster struct {
	// shared is the store as the keepers reach it.
	shared *store
	// unknown is set while the members are not known.
	unknown atomic.Bool

	mu      sync.Mutex
	keepers map[string]*Keeper
	// cut holds the keepers that don't answer.
	cut map[string]bool
}

func newCluster(shared *store, size int) *cluster {
	c := &cluster{shared: shared, keepers: map[string]*Keeper{}, cut: map[string]bool{}}
	for i := range size {
		c.restart(fmt.Sprint("keeper-", i))
	}
	return c
}

// restart starts a keeper, which forgets what it was told.
func (c *cluster) restart(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepers[address] = NewKeeper("departures", c.shared, bftimer.New(1))
}

// toggle cuts a keeper off, or connects it again.
func (c *cluster) toggle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[address] = !c.cut[address]
}

// Call implements Caller.
func (c *cluster) Call(ctx context.Context, address, method string, params, result any) error {
	c.mu.Lock()
	keeper, cut := c.keepers[address], c.cut[address]
	c.mu.Unlock()
	if cut {
		<-ctx.Done()
		return &bfpeer.UnreachableError{Address: address, Method: method, Reason: ctx.Err()}
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := keeper.Methods()[method].Handle(ctx, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// addresses returns those of the keepers.
func (c *cluster) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.keepers))
}

// Guards against a departure that stays without acknowledgement, and a departed start that is used, where the
// store turns away one node and serves the others.
func TestOtherNodesReachTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		own := newStore()
		c := newCluster(&store{MemoryTableStore: own.MemoryTableStore}, 3)
		p := startIn(c, own, true)
		p.heartbeat(beat("a", 1))
		own.set(true, false)
		is.True(p.depart("a"))
		p.kill()
		p = startIn(c, own, false)
		p.heartbeat(beat("a", 2))
		p.heartbeat(beat("b", 1))
		time.Sleep(time.Second)
		is.Equal(p.accepting(), "b") // the record was read, so that nothing has to be confirmed
		is.True(p.depart("b"))
		p.kill()
		own.set(false, false)
		p = startIn(newCluster(own, 0), own, false)
		p.heartbeat(beat("b", 2))
		time.Sleep(time.Second)
		is.Equal(p.accepting(), "") // what the others wrote is in the store
		p.kill()
	})
}

// Guards against a departed start that is used while nobody can read the store, although it answers that it
// accepts requests and its heartbeats are late.
func TestOtherNodesKeepDepartures(t *testing.T) {
	for lost := range 3 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newStore()
			c := newCluster(s, 3)
			p := startIn(c, s, true)
			p.heartbeat(beat("a", 1))
			is.True(p.depart("a"))
			p.kill()
			s.set(true, false)
			for _, address := range c.addresses()[:lost] {
				c.restart(address)
			}
			p = startIn(c, s, false)
			p.heartbeat(beat("a", 2))
			time.Sleep(time.Second)
			is.True(p.journal.Consulted())
			p.answer("a")
			is.Equal(p.accepting(), "")
			p.heartbeat(beat("b", 1))
			p.answer("b")
			is.Equal(p.accepting(), "b")
			p.kill()
		})
	}
}

// Guards against questions to a target before the other nodes were asked, and against a node that never asks
// it since they don't answer.
func TestNodeConsultsOthersThatDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		c := newCluster(s, 3)
		for _, address := range c.addresses() {
			c.toggle(address)
		}
		s.set(true, false)
		p := startIn(c, s, false)
		is.True(!p.journal.Consulted())
		time.Sleep(2 * callTimeout)
		is.True(p.journal.Consulted())
		p.kill()
	})
}

// Guards against a node that asks its target before the members are known, and against one that never does
// since it is the only member.
func TestNodeConsultsOthersOnceTheMembersAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		c := newCluster(s, 0)
		c.unknown.Store(true)
		s.set(true, false)
		p := startIn(c, s, false)
		time.Sleep(time.Minute)
		is.True(!p.journal.Consulted())
		c.unknown.Store(false)
		time.Sleep(2 * consultInterval)
		is.True(p.journal.Consulted())
		p.kill()
	})
}

// Guards against calls of a store that doesn't answer, for each question of another node.
func TestKeeperSparesAStoreThatDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		s.set(true, false)
		c := newCluster(s, 1)
		n := &Network{Calls: c, Keepers: c.addresses}
		for range 50 {
			is.True(n.read(context.Background(), "n", true).row == nil)
			time.Sleep(storeRetry / 25)
		}
		is.Equal(s.callCount(), 2)
	})
}

// Guards against departures of other nodes that are kept without bound.
func TestKeeperDropsTheNodeThatItWasToldOfLongestAgo(t *testing.T) {
	is := is.New(t)
	k := NewKeeper("departures", newStore(), bftimer.New(1))
	told := []bflifecycle.Departure{{Incarnation: "a"}}
	for node := range maxKept {
		k.keep(fmt.Sprint(node), told)
	}
	k.keep("0", []bflifecycle.Departure{{Incarnation: "b"}})
	k.keep("another", told)
	is.Equal(len(k.kept), maxKept)
	is.Equal(len(k.order), maxKept)
	is.Equal(len(k.known("0")), 2)
	is.Equal(k.known("1"), nil)
}

// Guards against keepers that are lost together with the node's failure domain, and against ones that a
// restarted node doesn't ask because another member has come or gone.
func TestKeepers(t *testing.T) {
	is := is.New(t)
	var members []bffleet.Member
	for i := range 12 {
		members = append(members, bffleet.Member{Inbound: fmt.Sprint("n", i), Peer: fmt.Sprint("n", i), Domain: fmt.Sprint("zone-", i%3)})
	}
	chosen := Keepers("n0", "zone-0", members)
	is.Equal(len(chosen), maxKeepers)
	is.True(!slices.Contains(chosen, "n0"))
	domains := map[string]int{}
	for _, m := range members {
		if slices.Contains(chosen, m.Peer) {
			domains[m.Domain]++
		}
	}
	is.Equal(domains["zone-0"], 0)
	is.Equal(len(domains), 2)
	for _, m := range members[1:] {
		rest := slices.DeleteFunc(slices.Clone(members), func(other bffleet.Member) bool { return other == m })
		common := 0
		for _, keeper := range Keepers("n0", "zone-0", rest) {
			if slices.Contains(chosen, keeper) {
				common++
			}
		}
		is.True(common >= maxKeepers-1)
	}
	is.Equal(Keepers("n0", "zone-0", members[:1]), nil)
	is.Equal(Keepers("n0", "zone-0", []bffleet.Member{members[0], members[3]}), []string{"n3"})
}

// Guards against an acknowledged departure that does not bind while other nodes keep departures, read and
// write the row, are cut off and restart, and the store is lost to one or all.
func TestAcknowledgedDeparturesBindWithOtherNodes(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			own := newStore()
			c := newCluster(&store{MemoryTableStore: own.MemoryTableStore}, 3)
			p := startIn(c, own, true)
			var acknowledged []string
			var late []bflifecycle.Heartbeat
			running, sequence := 0, int64(0)
			name := func() string { return fmt.Sprint("start-", running) }
			for range 60 {
				sequence++
				switch random.IntN(12) {
				case 0, 1, 2:
					p.heartbeat(beat(name(), sequence))
				case 3:
					late = append(late, beat(name(), sequence))
				case 4:
					if p.depart(name()) {
						acknowledged = append(acknowledged, name())
						running++
					}
				case 5, 6:
					p.kill()
					time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
					p = startIn(c, own, false)
				case 7:
					own.set(random.IntN(2) == 0, random.IntN(4) == 0)
				case 8:
					c.shared.set(random.IntN(2) == 0, random.IntN(4) == 0)
				case 9:
					c.toggle(c.addresses()[random.IntN(3)])
					c.restart(c.addresses()[random.IntN(3)])
				case 10:
					if len(late) > 0 {
						p.heartbeat(late[0])
						late = late[1:]
					}
				case 11:
					p.answer(name())
				}
				time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
				if got := p.accepting(); slices.Contains(acknowledged, got) {
					t.Fatalf("seed %d: %s receives requests after its departure was acknowledged", seed, got)
				}
			}
			p.kill()
		})
	}
}

// Guards against a departure that is acknowledged later since the store is slow and other nodes are asked to
// write what it is about to write.
func TestSlowStoreIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		c := newCluster(s, 3)
		p := startIn(c, s, true)
		p.heartbeat(beat("a", 1))
		time.Sleep(time.Second)
		s.slow(500 * time.Millisecond)
		is.True(p.depart("a"))
		is.Equal(s.callCount(), 1)
		p.kill()
	})
}
