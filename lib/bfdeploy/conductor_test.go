package bfdeploy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfera"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// textFormat writes statuses as "VERSION STATE".
type textFormat struct{}

func (textFormat) StatusTable() string             { return "status" }
func (textFormat) StatusKey(service string) string { return "rollout/" + service }

func (textFormat) EncodeStatus(version string, state bfrollout.State) ([]byte, error) {
	return fmt.Appendf(nil, "%s %d", version, state), nil
}

func (textFormat) DecodeStatus(value []byte) (version string, state bfrollout.State, err error) {
	_, err = fmt.Sscanf(string(value), "%s %d", &version, &state)
	return version, state, err
}

// faultyStore counts reads and writes, and can be unavailable or lose the responses of writes.
type faultyStore struct {
	*bfstore.MemoryTableStore
	reads, writes             atomic.Int32
	unavailable, loseResponse atomic.Bool
}

func (s *faultyStore) List(ctx context.Context, table string) ([]bfstore.Entry, bfstore.Revision, error) {
	s.reads.Add(1)
	if s.unavailable.Load() {
		return nil, 0, &bfstore.UnavailableError{Reason: "test"}
	}
	return s.MemoryTableStore.List(ctx, table)
}

func (s *faultyStore) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (bfstore.Revision, error) {
	if s.unavailable.Load() {
		return 0, &bfstore.UnavailableError{Reason: "test"}
	}
	s.writes.Add(1)
	revision, err := s.MemoryTableStore.Write(ctx, table, writes...)
	if s.loseResponse.Load() {
		return 0, &bfstore.UnknownError{Reason: "test"}
	}
	return revision, err
}

// fleet is a set of conductors that call each other in memory.
type fleet struct {
	*is.I
	group   *bfgroup.Group
	timer   *bftimer.Service
	store   *faultyStore
	members []bffleet.Member
	mu      sync.Mutex
	nodes   map[string]*Conductor
	// partitioned holds the nodes that cannot reach any other.
	partitioned map[string]bool
}

// caller is the Caller of one node.
type caller struct {
	fleet *fleet
	name  string
}

var errPartitioned = errors.New("node is partitioned")

func (c caller) Call(ctx context.Context, address, method string, params, result any) error {
	c.fleet.mu.Lock()
	to := c.fleet.nodes[address]
	unreachable := c.fleet.partitioned[c.name] || c.fleet.partitioned[address] || to == nil
	c.fleet.mu.Unlock()
	if unreachable {
		return errPartitioned
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := to.Methods()[method].Handle(ctx, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// nodeCount is the number of nodes of each version.
const nodeCount = 4

func withFleet(t *testing.T, fn func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			I: is.New(t), group: bfgroup.New(context.Background()), timer: bftimer.New(1), nodes: map[string]*Conductor{}, partitioned: map[string]bool{},
			store: &faultyStore{MemoryTableStore: bfstore.NewMemoryTableStore()},
		}
		f.group.Go("timer", f.timer.Run)
		for i := range 2 * nodeCount {
			f.members = append(f.members, bffleet.Member{
				Inbound: fmt.Sprintf("10.0.0.%d:1", i), Peer: fmt.Sprint("n", i), Service: "s", Domain: fmt.Sprint("domain-", i%3),
				Slots: 9, Version: fmt.Sprint("v", 1+i/nodeCount),
			})
		}
		for i := range f.members {
			f.start(i)
		}
		fn(f)
		f.group.Cancel()
		if err := f.group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}

// start starts a node without records.
func (f *fleet) start(i int) *Conductor {
	m := f.members[i]
	view := bffleet.New(bffleet.Place{Inbound: m.Inbound, Domain: m.Domain})
	view.Replace(f.members)
	rows := bfera.New(f.store, bflog.Discard())
	c := New(Config{
		Self: m.Peer, Inbound: m.Inbound, Fleet: view, Calls: caller{f, m.Peer}, Rows: rows, Format: textFormat{}, Era: rows.Era,
		Book: bfrollout.NewBook(bfrollout.Config{
			Terms: bfrollout.Terms{Share: 0.1, Slack: 50}, Entries: view.Size, Now: f.timer.Now,
		}),
		Recipients: func(bool) (all []string) {
			for _, m := range f.members {
				all = append(all, m.Peer)
			}
			return all
		},
		Timer: f.timer, Logger: bflog.Discard(), Spawn: f.group.Go,
	})
	f.mu.Lock()
	f.nodes[m.Peer] = c
	f.mu.Unlock()
	f.group.Go(m.Peer, c.Run)
	return c
}

var testOrder = bfrollout.Order{Service: "s", Version: "v2", Duration: 10 * time.Second, Revision: bfstore.RevisionOf(1, 1)}

// load sends requests to both versions through all nodes for a time; failing is the share of failures
// of the new version in percent.
func (f *fleet) load(length time.Duration, failing int) {
	const interval = 5 * time.Millisecond
	for i := range int(length / interval) {
		time.Sleep(interval)
		f.mu.Lock()
		c := f.nodes[fmt.Sprint("n", i%(2*nodeCount))]
		f.mu.Unlock()
		r := c.config.Book.Of("s")
		if r == nil {
			continue
		}
		outcome := bfrollout.Outcome{Run: 100 * time.Millisecond}
		if _, isNew := r.Select("r", f.timer.Now(), false).(bfrollout.New); isNew {
			outcome.Bad = i*37%100 < failing
			r.Note("r", f.members[nodeCount+i%nodeCount].Inbound, "v2", f.timer.Now(), outcome)
			continue
		}
		r.Note("r", f.members[i%nodeCount].Inbound, "v1", f.timer.Now(), outcome)
	}
}

// status returns the value of the status row.
func (f *fleet) status() string {
	entries, _, err := f.store.MemoryTableStore.List(context.Background(), "status")
	f.NoErr(err)
	if len(entries) == 0 {
		return ""
	}
	return string(entries[0].Value)
}

func statusOf(state bfrollout.State) string { return fmt.Sprintf("v2 %d", state) }

// states returns the states in the nodes' books.
func (f *fleet) states() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for i := range f.members {
		if r := f.nodes[fmt.Sprint("n", i)].config.Book.Of("s"); r != nil {
			all = append(all, r.Record(f.timer.Now()).State.String())
		}
	}
	return strings.Join(all, ",")
}

func all(state bfrollout.State) string {
	return strings.Join(slicesRepeat(state.String(), 2*nodeCount), ",")
}

func slicesRepeat(s string, n int) (list []string) {
	for range n {
		list = append(list, s)
	}
	return list
}

// Guards against a good version that is not completed in time, and against a status that each node
// reads and writes.
func TestGoodVersionIsCompleted(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.nodes["n0"].Observe(testOrder, true)
		f.load(time.Second, 0)
		f.Equal(f.status(), statusOf(bfrollout.Running))
		f.load(9*time.Second, 0)
		f.Equal(f.status(), statusOf(bfrollout.Completed))
		f.Equal(f.states(), all(bfrollout.Completed))
		f.Equal(f.store.writes.Load(), int32(2))
		f.Equal(f.store.reads.Load(), int32(2))
	})
}

// Guards against a bad version that keeps receiving requests, on each node, and against an end that
// is lost when the store is unavailable, loses the response of the write, or is restored.
func TestBadVersionIsRolledBackDespiteStoreFaults(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.nodes["n0"].Observe(testOrder, true)
		f.load(time.Second, 0)
		backup := f.store.Backup()
		f.store.unavailable.Store(true)
		f.load(5*time.Second, 60)
		for _, c := range f.nodes {
			f.True(!c.config.Book.Admits("s", "v2", true, true)) // also without the store
		}
		f.Equal(f.status(), statusOf(bfrollout.Running))
		f.store.loseResponse.Store(true)
		f.store.unavailable.Store(false)
		time.Sleep(2 * time.Second)
		f.Equal(f.status(), statusOf(bfrollout.RolledBack))
		f.store.loseResponse.Store(false)
		time.Sleep(4 * time.Second)
		f.Equal(f.states(), all(bfrollout.RolledBack))

		f.store.Restore(backup)
		f.Equal(f.status(), statusOf(bfrollout.Running))
		_, _, err := f.nodes["n1"].config.Rows.List(context.Background(), "status") // each node's reads show the era
		f.NoErr(err)
		for _, c := range f.nodes {
			_, _, err := c.config.Rows.List(context.Background(), "status")
			f.NoErr(err)
		}
		time.Sleep(3 * time.Second)
		f.Equal(f.status(), statusOf(bfrollout.RolledBack))
	})
}

// Guards against a roll-out that begins anew on a node that was restarted after its end and reads the
// order from the store.
func TestRestartedNodeTakesUpTheEnd(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.nodes["n0"].Observe(testOrder, true)
		f.load(6*time.Second, 60)
		f.Equal(f.status(), statusOf(bfrollout.RolledBack))
		f.mu.Lock()
		f.partitioned["n3"] = true
		f.mu.Unlock()
		restarted := f.start(3)
		restarted.Observe(testOrder, false)
		f.True(!restarted.config.Book.Admits("s", "v2", false, true)) // until the status is read
		time.Sleep(time.Second)
		f.Equal(restarted.config.Book.Of("s").Record(f.timer.Now()).State, bfrollout.RolledBack)
		f.True(!restarted.config.Book.Admits("s", "v2", true, true))
	})
}

// Guards against two ends of one roll-out: a node that is cut off from the others has cleared the
// version that they withdrew.
func TestTheFirstWrittenEndCounts(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.nodes["n0"].Observe(testOrder, true)
		f.load(time.Second, 0)
		f.mu.Lock()
		f.partitioned["n3"] = true
		f.mu.Unlock()
		f.nodes["n3"].config.Book.Clear(testOrder)
		f.load(5*time.Second, 60)
		f.Equal(f.status(), statusOf(bfrollout.RolledBack))
		f.load(6*time.Second, 0)
		f.Equal(f.status(), statusOf(bfrollout.RolledBack))
		f.Equal(f.states(), all(bfrollout.RolledBack))
	})
}
