package bfcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// cluster is a fleet of real Controls on a fake clock, with simulated links and an
// in-memory platform. Tests can cut links, drop or delay datagrams and suspend nodes.
type cluster struct {
	t     *testing.T
	is    *is.I
	mu    sync.Mutex
	rand  *rand.Rand
	nodes map[string]*node // by peer address
	ids   []string
	store *bfstore.Memory
	head  *bfconfig.State
	// delivers reports whether a datagram is delivered; nil delivers all.
	delivers func(from, to string, data []byte) bool
	// reaches reports whether an instance can reach the platform.
	reaches func(id string) bool
	// tableCallCount counts the instances' calls to the table.
	tableCallCount int
	// logEntries holds the events logged by each instance, across all incarnations.
	logEntries map[string][]logEntry
}

type logEntry struct {
	Event   int    `json:"event"`
	Version uint64 `json:"version"`
	Time    time.Time
}

// node is one process of an instance.
type node struct {
	cluster *cluster
	id      string
	address string
	control *Control
	group   *bfgroup.Group
	metrics *bfmetric.Registry
	inbox   chan packet
	digests fakeComparer
}

type packet struct {
	from netip.AddrPort
	data []byte
}

func runCluster(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, is: is.New(t), rand: rand.New(rand.NewPCG(7, 7)), nodes: map[string]*node{},
			store: bfstore.NewMemory(), head: bfconfig.Empty(), logEntries: map[string][]logEntry{},
		}
		defer c.checkVersionsNeverDecrease()
		defer func() {
			for _, id := range c.ids {
				c.kill(id)
			}
		}()
		test(c)
	})
}

// startFleet starts n instances in three failure domains.
func (c *cluster) startFleet(n int) {
	for i := range n {
		id := fmt.Sprintf("n%d", i+1)
		c.ids = append(c.ids, id)
		c.start(id)
	}
}

func address(id string) string {
	var n int
	_, _ = fmt.Sscanf(id, "n%d", &n)
	return fmt.Sprintf("10.0.0.%d:1", n)
}

func (c *cluster) row(id string) bfroster.Row {
	var n int
	_, _ = fmt.Sscanf(id, "n%d", &n)
	return bfroster.Row{
		ID: id, Region: "r", Domain: fmt.Sprintf("d%d", n%3), Service: "desk", Peer: address(id), Inbound: address(id),
		Incarnation: uint64(time.Now().UnixMicro()),
	}
}

// start starts a process of the instance; it joins through the meeting rows or a seed address.
func (c *cluster) start(id string) {
	n := &node{
		cluster: c, id: id, address: address(id), group: bfgroup.New(context.Background()),
		metrics: bfmetric.New(), inbox: make(chan packet, 512),
	}
	c.mu.Lock()
	seed := c.rand.Uint64()
	c.mu.Unlock()
	timer := bftimer.New(seed)
	control, err := New(Config{
		Self: c.row(id), Seeds: []string{address("n1"), address("n2"), address("n3")}, Profile: FastConvergenceProfile(),
		Table: table{n}, Objects: objects{c.store, n}, Datagrams: n, Calls: n,
		Directory: bfdirectory.New(c.row(id).Domain), Timer: timer, Group: n.group,
		Logger: bflog.New(&recorder{c, id}, id, slog.LevelInfo), Metrics: n.metrics, Seed: seed,
		Reincarnated: func(uint64) {}, Quarantine: &n.digests,
	})
	c.is.NoErr(err)
	n.control = control
	c.mu.Lock()
	c.nodes[n.address] = n
	c.mu.Unlock()
	n.group.Go("timer", timer.Run)
	n.group.Go("control", control.Run)
}

// kill stops a process without a leave message.
func (c *cluster) kill(id string) {
	c.mu.Lock()
	n := c.nodes[address(id)]
	delete(c.nodes, address(id))
	c.mu.Unlock()
	if n != nil {
		n.group.Cancel()
		c.is.NoErr(n.group.Wait())
	}
}

func (c *cluster) node(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[address(id)]
}

// setLinks sets which datagrams are delivered and which instances reach the platform.
func (c *cluster) setLinks(passes func(from, to string, data []byte) bool, reaches func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivers, c.reaches = passes, reaches
}

// tableCalls returns the number of calls to the table so far.
func (c *cluster) tableCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tableCallCount
}

// freeze blocks an instance's loop, as SIGSTOP would, until resume is called.
func (c *cluster) freeze(id string) (resume func()) {
	n := c.node(id)
	resumed := make(chan struct{})
	n.control.loop.Post(n.group.Context(), func(time.Time) { <-resumed })
	return func() { close(resumed) }
}

// commit commits a version to the table, and spreads it from the given node unless from is empty.
func (c *cluster) commit(from string, ops ...bfconfig.Op) {
	if len(ops) == 0 {
		ops = []bfconfig.Op{bfconfig.Put{Object: bfconfig.ServiceSpec{
			Name: fmt.Sprintf("s%d", c.head.Version()), ColdStart: time.Minute,
		}}}
	}
	change := bfconfig.NewChange(fmt.Sprintf("c%d", c.head.Version()), "anna", time.Now(), ops)
	next, delta, err := c.head.Propose(change)
	c.is.NoErr(err)
	encoded, err := delta.Encode()
	c.is.NoErr(err)
	c.head = next
	head := bfcommit.Head{Version: next.Version(), Digest: next.Digest()}
	c.is.NoErr(c.store.Commit(c.t.Context(), bfstore.Transaction{Writes: []bfstore.Write{
		{Key: bfcommit.HeadKey, Value: head.Encode()}, {Key: bfcommit.VersionKey(next.Version()), Value: encoded},
	}}))
	if from != "" {
		c.is.NoErr(c.node(from).control.PublishDelta(c.t.Context(), encoded))
	}
}

func (c *cluster) inForce(id string) uint64 { return c.node(id).control.inForce.Load() }

// converged reports whether the head is in force on all given instances.
func (c *cluster) converged(ids ...string) bool {
	for _, id := range ids {
		if n := c.node(id); n.control.View() == nil || c.inForce(id) != uint64(c.head.Version()) {
			return false
		}
	}
	return true
}

// waitConverged fails the test unless the given instances converge within the given fake time.
func (c *cluster) waitConverged(within time.Duration, what string, ids ...string) {
	c.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if c.converged(ids...) {
			return
		}
	}
	for _, id := range ids {
		c.t.Logf("%s: in force %d, held %d, members %d", id, c.inForce(id), c.node(id).control.State().Version(), c.node(id).control.Order().Len())
	}
	c.t.Fatalf("%s: not every instance has version %d in force", what, c.head.Version())
}

// events counts the log entries of an instance with the event's number.
func (c *cluster) events(id string, event bflog.Event) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, l := range c.logEntries[id] {
		if l.Event == event.Number() {
			count++
		}
	}
	return count
}

// checkVersionsNeverDecrease fails the test if an instance adopted an older version, across all incarnations.
func (c *cluster) checkVersionsNeverDecrease() {
	for id, lines := range c.logEntries {
		var last uint64
		for _, l := range lines {
			if l.Event != bflog.VersionAdopted.Number() {
				continue
			}
			if l.Version < last {
				c.t.Errorf("%s: version in force decreased from %d to %d", id, last, l.Version)
			}
			last = l.Version
		}
	}
}

type recorder struct {
	cluster *cluster
	id      string
}

func (r *recorder) Write(data []byte) (int, error) {
	var l logEntry
	err := json.Unmarshal(data, &l)
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	r.cluster.logEntries[r.id] = append(r.cluster.logEntries[r.id], l)
	return len(data), err
}

// Send delivers a datagram after a random delay, so datagrams can be reordered.
func (n *node) Send(to netip.AddrPort, _ bfpeer.Purpose, data []byte) error {
	c := n.cluster
	data = bytes.Clone(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivers != nil && !c.delivers(n.id, c.idAt(to.String()), data) {
		return nil
	}
	delay := time.Millisecond + time.Duration(c.rand.Int64N(int64(4*time.Millisecond)))
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		target := c.nodes[to.String()]
		c.mu.Unlock()
		if target == nil {
			return
		}
		select {
		case target.inbox <- packet{netip.MustParseAddrPort(n.address), data}:
		default: // drop: the socket buffer is full
		}
	})
	return nil
}

func (c *cluster) idAt(address string) string {
	if n := c.nodes[address]; n != nil {
		return n.id
	}
	return ""
}

func (n *node) Receive(ctx context.Context, handle func(netip.AddrPort, []byte) bfpeer.Purpose) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-n.inbox:
			handle(p.from, p.data)
		}
	}
}

// Call makes a call; it blocks until ctx ends if the link does not deliver datagrams.
func (n *node) Call(ctx context.Context, address, method string, params, _ any) error {
	c := n.cluster
	c.mu.Lock()
	target := c.nodes[address]
	passes := target != nil && (c.delivers == nil || c.delivers(n.id, target.id, nil))
	c.mu.Unlock()
	if !passes {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(3 * time.Millisecond)
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = target.control.Methods()[method].Handle(ctx, data)
	return err
}

// table is the platform's table as seen by one instance.
type table struct{ node *node }

// simulateCall counts a call to the table, waits for its latency, and fails if the platform is unreachable.
func (t table) simulateCall(ctx context.Context) error {
	c := t.node.cluster
	c.mu.Lock()
	c.tableCallCount++
	reaches := c.reaches == nil || c.reaches(t.node.id)
	c.mu.Unlock()
	select {
	case <-time.After(5 * time.Millisecond):
	case <-ctx.Done():
	}
	if !reaches {
		return &bfstore.UnavailableError{Reason: "cut"}
	}
	return nil
}

func (t table) Get(ctx context.Context, keys ...string) ([]bfstore.Row, error) {
	if err := t.simulateCall(ctx); err != nil {
		return nil, err
	}
	return t.node.cluster.store.Get(ctx, keys...)
}

func (t table) Range(ctx context.Context, from, to string, limit int) ([]bfstore.Row, error) {
	if err := t.simulateCall(ctx); err != nil {
		return nil, err
	}
	return t.node.cluster.store.Range(ctx, from, to, limit)
}

func (t table) Commit(ctx context.Context, tx bfstore.Transaction) error {
	if err := t.simulateCall(ctx); err != nil {
		return err
	}
	return t.node.cluster.store.Commit(ctx, tx)
}

type objects struct {
	*bfstore.Memory
	node *node
}

func (o objects) Object(ctx context.Context, name string) ([]byte, error) {
	if err := (table{o.node}).simulateCall(ctx); err != nil {
		return nil, err
	}
	return o.Memory.Object(ctx, name)
}
