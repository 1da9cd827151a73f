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

// world is a fleet of real Controls in one bubble of fake time, over links and
// a platform in memory that a test can cut, lose, delay and freeze.
type world struct {
	t     *testing.T
	is    *is.I
	mu    sync.Mutex
	rand  *rand.Rand
	nodes map[string]*node // by peer address
	ids   []string
	store *bfstore.Memory
	head  *bfconfig.State
	// passes says whether a datagram gets through; nil lets everything through.
	passes func(from, to string, data []byte) bool
	// reaches says whether an instance reaches the platform.
	reaches func(id string) bool
	// reads counts calls to the table by instances.
	reads int
	// lines are the events that each instance logged, in all its incarnations.
	lines map[string][]line
}

type line struct {
	Event   int    `json:"event"`
	Version uint64 `json:"version"`
	Time    time.Time
}

// node is one process of an instance.
type node struct {
	world   *world
	id      string
	address string
	control *Control
	group   *bfgroup.Group
	metrics *bfmetric.Registry
	inbox   chan packet
	digests digests
}

type packet struct {
	from netip.AddrPort
	data []byte
}

func run(t *testing.T, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, is: is.New(t), rand: rand.New(rand.NewPCG(7, 7)), nodes: map[string]*node{},
			store: bfstore.NewMemory(), head: bfconfig.Empty(), lines: map[string][]line{},
		}
		defer w.checkNeverBack()
		defer func() {
			for _, id := range w.ids {
				w.kill(id)
			}
		}()
		test(w)
	})
}

// fleet starts n instances in three failure domains.
func (w *world) fleet(n int) {
	for i := range n {
		id := fmt.Sprintf("n%d", i+1)
		w.ids = append(w.ids, id)
		w.start(id)
	}
}

func address(id string) string {
	var n int
	_, _ = fmt.Sscanf(id, "n%d", &n)
	return fmt.Sprintf("10.0.0.%d:1", n)
}

func (w *world) row(id string) bfroster.Row {
	var n int
	_, _ = fmt.Sscanf(id, "n%d", &n)
	return bfroster.Row{
		ID: id, Region: "r", Domain: fmt.Sprintf("d%d", n%3), Service: "desk", Peer: address(id), Inbound: address(id),
		Incarnation: uint64(time.Now().UnixMicro()),
	}
}

// start starts a process of the instance, without seeds: it meets the others by the table or by one address.
func (w *world) start(id string) {
	n := &node{
		world: w, id: id, address: address(id), group: bfgroup.New(context.Background()),
		metrics: bfmetric.New(), inbox: make(chan packet, 512),
	}
	w.mu.Lock()
	seed := w.rand.Uint64()
	w.mu.Unlock()
	timer := bftimer.New(seed)
	control, err := New(Parts{
		Self: w.row(id), Seeds: []string{address("n1"), address("n2"), address("n3")}, Profile: Convergence(),
		Table: table{n}, Objects: objects{w.store, n}, Datagrams: n, Calls: n,
		Directory: bfdirectory.New(w.row(id).Domain), Timer: timer, Group: n.group,
		Logger: bflog.New(&recorder{w, id}, id, slog.LevelInfo), Metrics: n.metrics, Seed: seed,
		Reincarnated: func(uint64) {}, Quarantine: &n.digests,
	})
	w.is.NoErr(err)
	n.control = control
	w.mu.Lock()
	w.nodes[n.address] = n
	w.mu.Unlock()
	n.group.Go("timer", timer.Run)
	n.group.Go("control", control.Run)
}

// kill ends a process with no word to anyone.
func (w *world) kill(id string) {
	w.mu.Lock()
	n := w.nodes[address(id)]
	delete(w.nodes, address(id))
	w.mu.Unlock()
	if n != nil {
		n.group.Cancel()
		w.is.NoErr(n.group.Wait())
	}
}

func (w *world) node(id string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[address(id)]
}

// links changes which datagrams and which calls to the platform get through.
func (w *world) links(passes func(from, to string, data []byte) bool, reaches func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passes, w.reaches = passes, reaches
}

// tableReads counts the calls to the table so far.
func (w *world) tableReads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reads
}

// freeze stops an instance's loop as SIGSTOP would until the returned function is called.
func (w *world) freeze(id string) (thaw func()) {
	n := w.node(id)
	frozen := make(chan struct{})
	n.control.loop.Post(n.group.Context(), func(time.Time) { <-frozen })
	return func() { close(frozen) }
}

// commit makes a version in the table, and pushes it from the node that is named, if one is.
func (w *world) commit(from string, ops ...bfconfig.Op) {
	if len(ops) == 0 {
		ops = []bfconfig.Op{bfconfig.Put{Object: bfconfig.ServiceSpec{
			Name: fmt.Sprintf("s%d", w.head.Version()), ColdStart: time.Minute,
		}}}
	}
	change := bfconfig.NewChange(fmt.Sprintf("c%d", w.head.Version()), "anna", time.Now(), ops)
	next, delta, err := w.head.Propose(change)
	w.is.NoErr(err)
	encoded, err := delta.Encode()
	w.is.NoErr(err)
	w.head = next
	head := bfcommit.Head{Version: next.Version(), Digest: next.Digest()}
	w.is.NoErr(w.store.Commit(w.t.Context(), bfstore.Transaction{Writes: []bfstore.Write{
		{Key: bfcommit.HeadKey, Value: head.Encode()}, {Key: bfcommit.VersionKey(next.Version()), Value: encoded},
	}}))
	if from != "" {
		w.is.NoErr(w.node(from).control.PublishDelta(w.t.Context(), encoded))
	}
}

func (w *world) inForce(id string) uint64 { return w.node(id).control.inForce.Load() }

// converged reports whether every instance has the head in force.
func (w *world) converged(ids ...string) bool {
	for _, id := range ids {
		if n := w.node(id); n.control.View() == nil || w.inForce(id) != uint64(w.head.Version()) {
			return false
		}
	}
	return true
}

// await fails the test unless the named instances converge within the time, fake as it is.
func (w *world) await(within time.Duration, what string, ids ...string) {
	w.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.converged(ids...) {
			return
		}
	}
	for _, id := range ids {
		w.t.Logf("%s: in force %d, held %d, members %d", id, w.inForce(id), w.node(id).control.State().Version(), w.node(id).control.Order().Len())
	}
	w.t.Fatalf("%s: not every instance has version %d in force", what, w.head.Version())
}

// events counts what an instance logged under a number.
func (w *world) events(id string, event bflog.Event) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, l := range w.lines[id] {
		if l.Event == event.Number() {
			count++
		}
	}
	return count
}

// checkNeverBack holds every instance, over all its incarnations, to rising versions.
func (w *world) checkNeverBack() {
	for id, lines := range w.lines {
		var last uint64
		for _, l := range lines {
			if l.Event != bflog.VersionAdopted.Number() {
				continue
			}
			if l.Version < last {
				w.t.Errorf("%s went back from version %d to %d", id, last, l.Version)
			}
			last = l.Version
		}
	}
}

type recorder struct {
	world *world
	id    string
}

func (r *recorder) Write(data []byte) (int, error) {
	var l line
	err := json.Unmarshal(data, &l)
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.world.lines[r.id] = append(r.world.lines[r.id], l)
	return len(data), err
}

// Send carries a datagram with a random delay, so that datagrams overtake each other.
func (n *node) Send(to netip.AddrPort, _ bfpeer.Purpose, data []byte) error {
	w := n.world
	data = bytes.Clone(data)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.passes != nil && !w.passes(n.id, w.idAt(to.String()), data) {
		return nil
	}
	delay := time.Millisecond + time.Duration(w.rand.Int64N(int64(4*time.Millisecond)))
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		target := w.nodes[to.String()]
		w.mu.Unlock()
		if target == nil {
			return
		}
		select {
		case target.inbox <- packet{netip.MustParseAddrPort(n.address), data}:
		default: // the socket's buffer is full
		}
	})
	return nil
}

func (w *world) idAt(address string) string {
	if n := w.nodes[address]; n != nil {
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

// Call carries a call over a link that swallows it where a datagram would not pass.
func (n *node) Call(ctx context.Context, address, method string, params, _ any) error {
	w := n.world
	w.mu.Lock()
	target := w.nodes[address]
	passes := target != nil && (w.passes == nil || w.passes(n.id, target.id, nil))
	w.mu.Unlock()
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

// table is the platform as one instance reaches it.
type table struct{ node *node }

func (t table) answer(ctx context.Context) error {
	w := t.node.world
	w.mu.Lock()
	w.reads++
	reaches := w.reaches == nil || w.reaches(t.node.id)
	w.mu.Unlock()
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
	if err := t.answer(ctx); err != nil {
		return nil, err
	}
	return t.node.world.store.Get(ctx, keys...)
}

func (t table) Range(ctx context.Context, from, to string, limit int) ([]bfstore.Row, error) {
	if err := t.answer(ctx); err != nil {
		return nil, err
	}
	return t.node.world.store.Range(ctx, from, to, limit)
}

func (t table) Commit(ctx context.Context, tx bfstore.Transaction) error {
	if err := t.answer(ctx); err != nil {
		return err
	}
	return t.node.world.store.Commit(ctx, tx)
}

type objects struct {
	*bfstore.Memory
	node *node
}

func (o objects) Object(ctx context.Context, name string) ([]byte, error) {
	if err := (table{o.node}).answer(ctx); err != nil {
		return nil, err
	}
	return o.Memory.Object(ctx, name)
}
