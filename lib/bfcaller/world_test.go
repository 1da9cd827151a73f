package bfcaller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"bilberryflow.org/lib/bfannounce"
	"bilberryflow.org/lib/bfcaller"
	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfguard"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world is nodes, each with a target, joined by real sockets, with a relay
// before each node's ports for the others.
type world struct {
	t        testing.TB
	protocol bfforward.Protocol
	// direct leaves out the relays.
	direct bool
	timer  *bftimer.Service
	table  *table
	view   atomic.Pointer[bfroute.View]
	http   *http.Client
	beats  *bfgroup.Group
	clock  atomic.Uint64
	// book is what all nodes know of requests under which targets end, as if they told
	// each other at once.
	book *bfquarantine.Book

	mu    sync.Mutex
	nodes []*node
}

type node struct {
	world         *world
	name          string
	inbound, peer *relay
	// deaf nodes hear nothing new of the others.
	deaf      atomic.Bool
	group     *bfgroup.Group
	directory *bfdirectory.Directory
	metrics   *bfmetric.Registry
	clients   []*bfforward.Client
	calls     *bfpeer.Calls
	guard     *bfguard.Guard
	entry     *bfcaller.Entry
	handler   *bfcaller.Handler
	servers   []*http.Server
	callers   string       // address
	announce  atomic.Value // string, an address
	target    *target
	// load is what the guard's last answer told of its load.
	load atomic.Value // string
	// what the membership has of it; under world.mu
	home    bfrecord.Home
	service string
	state   bfroster.TargetState
	slots   int
	gone    bool
}

const (
	service  = "order-desk"
	lookUp   = "/stems"
	nominate = "/nominations" // at most once, with callers' keys
	approve  = "/approvals"   // at most once
	pull     = "/packages"
)

func newWorld(t testing.TB, protocol bfforward.Protocol, nodes int) *world {
	w := &world{t: t, protocol: protocol, timer: bftimer.New(1), table: &table{Memory: bfstore.NewMemory()}, book: bfquarantine.New("all")}
	w.clock.Store(uint64(time.Now().UnixMicro()))
	w.http = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	w.beats = bfgroup.New(context.Background())
	w.beats.Go("timer", w.timer.Run)
	t.Cleanup(func() {
		w.beats.Cancel()
		_ = w.beats.Wait()
		w.http.CloseIdleConnections()
	})
	w.configure(nil)
	for i := range nodes {
		w.add(string(rune('a' + i)))
	}
	return w
}

// newEntry makes a world whose first node, a, is an entry alone: only the
// targets of the others take work.
func newEntry(t testing.TB, protocol bfforward.Protocol, targets int) (*world, *node) {
	w := newWorld(t, protocol, 1+targets)
	w.nodes[0].announces(true)
	return w, w.nodes[0]
}

// configure puts a view in force; change may edit its objects.
func (w *world) configure(change func(policies map[string]*bfconfig.PolicySpec, event *bfconfig.EventSpec)) {
	policies := map[string]*bfconfig.PolicySpec{
		lookUp:   {Class: "look-up", Idempotent: true, Deadline: 5 * time.Second, Queue: 16, RetryPercent: 20},
		nominate: {Class: "nomination", Deadline: 5 * time.Second, Queue: 16, RetryPercent: 20, DurableKeys: true, Priority: 1},
		approve:  {Class: "approval", Deadline: 5 * time.Second, Queue: 16, RetryPercent: 20, Priority: 1},
		pull:     {Class: "package", Idempotent: true, Deadline: 20 * time.Second, Queue: 16},
	}
	start := time.Now().Add(time.Hour).Truncate(time.Second)
	event := &bfconfig.EventSpec{Name: "opening", Start: start, End: start.Add(time.Hour)}
	if change != nil {
		change(policies, event)
	}
	ops := []bfconfig.Op{bfconfig.Put{Object: bfconfig.ServiceSpec{Name: service}}}
	for prefix, policy := range policies {
		policy.Name = strings.Trim(prefix, "/")
		ops = append(ops, bfconfig.Put{Object: *policy},
			bfconfig.Put{Object: bfconfig.RouteSpec{Name: policy.Name, Prefix: prefix, Service: service, Policy: policy.Name}})
	}
	ops = append(ops, bfconfig.Put{Object: *event})
	state, _, err := bfconfig.Empty().Propose(bfconfig.NewChange("c", "author", time.Now(), ops))
	if err != nil {
		w.t.Fatal(err)
	}
	view, err := bfroute.NewView(state)
	if err != nil {
		w.t.Fatal(err)
	}
	w.view.Store(view)
}

// add starts a node and its target, which announces itself.
func (w *world) add(name string) *node {
	n := &node{world: w, name: name, service: service, target: newTarget(w.t)}
	n.inbound, n.peer = newRelay(w.t, ""), newRelay(w.t, "")
	n.start()
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	n.announces(false)
	beats := w.timer.Every(func() time.Duration { return bfannounce.Heartbeat }, func(time.Time) {
		w.beats.Go("heartbeat", func(context.Context) error {
			_, _ = n.announcement(n.target.leaving.Load())
			return nil
		})
	})
	w.t.Cleanup(func() {
		beats.Stop()
		n.kill()
	})
	return n
}

// start runs the node as a new incarnation.
func (n *node) start() {
	w := n.world
	w.mu.Lock()
	n.home = bfrecord.Home{Instance: n.name, Incarnation: w.clock.Add(1)}
	n.directory = bfdirectory.New("princes")
	n.state = bfroster.TargetNone
	w.mu.Unlock()
	n.group = bfgroup.New(context.Background())
	n.metrics = bfmetric.New()
	methods := bfpeer.Methods{}
	n.calls = bfpeer.NewCalls(methods, bfpeer.NewTraffic(n.metrics), n.group)
	options := bfforward.DefaultOptions()
	options.Protocol = w.protocol
	n.clients = []*bfforward.Client{bfforward.New(options), bfforward.New(bfforward.DefaultOptions())}
	minter := bfrecord.NewMinter(n.home)
	resolver := bfguard.Resolver{Calls: n.calls}
	n.guard = bfguard.New(bfguard.Parts{
		Home: n.home, Service: service, ColdStart: func() time.Duration { return 0 },
		View: w.view.Load, Client: n.clients[1], Minter: minter, Timer: w.timer, Logger: bflog.Discard(),
		Metrics: n.metrics, Table: w.table, Directory: n.directory, Resolver: resolver, Spawn: n.group.Go, Tell: n.tell,
		Quarantine: w.book,
	})
	for name, method := range n.guard.Methods() {
		methods[name] = method
	}
	n.entry = bfcaller.New(bfcaller.Parts{
		View: w.view.Load, Directory: n.directory, Client: n.clients[0], Resolver: resolver,
		Minter: minter, Timer: w.timer, Metrics: n.metrics, Spawn: n.group.Go,
		Quarantine: w.book,
	})
	n.handler = bfcaller.NewHandler(n.entry, 1<<20, 300*time.Millisecond)
	n.callers = n.serve(n.handler)
	n.announce.Store(n.serve(http.HandlerFunc(n.guard.ServeAnnouncements)))
	n.inbound.backend.Store(n.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		n.guard.ServeHTTP(rw, r)
		n.load.Store(rw.Header().Get(bfheader.Load))
	})))
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	n.group.Go("calls", func(ctx context.Context) error { return n.calls.Serve(ctx, peers) })
	n.peer.backend.Store(peers.Addr().String())
}

func (n *node) serve(handler http.Handler) string {
	server, address := serve(n.world.t, handler)
	n.servers = append(n.servers, server)
	return address
}

func serve(t testing.TB, handler http.Handler) (*http.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String()
}

// kill ends the node's process without a word.
func (n *node) kill() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.servers = nil
	n.calls.CloseAll()
	n.group.Cancel()
	n.inbound.cut()
	n.peer.cut()
	// Handlers that the closed servers left may still start something.
	eventually(n.world.t, "node ends", func() bool { return n.group.Running() == 0 })
	for _, client := range n.clients {
		client.Sweep(time.Now().Add(time.Hour), 0)
	}
}

// restart ends the node and starts its next incarnation, which hears its target again.
func (n *node) restart() {
	n.kill()
	n.start()
	n.announces(false)
}

// announces has the target announce itself and returns what the node says is in flight.
func (n *node) announces(leaving bool) int {
	n.target.leaving.Store(leaving)
	answer, err := n.announcement(leaving)
	if err != nil {
		n.world.t.Fatal(err)
	}
	return answer.InFlight
}

func (n *node) announcement(leaving bool) (bfannounce.Answer, error) {
	return bfannounce.Send(context.Background(), n.world.http, n.announce.Load().(string), bfannounce.Announcement{
		Incarnation: n.target.incarnation, Service: service, Address: n.target.address, Slots: n.target.slots, Leaving: leaving,
	})
}

func (n *node) tell(state bfroster.TargetState, slots int) {
	w := n.world
	w.mu.Lock()
	n.state, n.slots = state, slots
	w.mu.Unlock()
	w.spread()
}

// spread gives every node that is not deaf the membership as it is.
func (w *world) spread() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var members []bfdirectory.Member
	for _, n := range w.nodes {
		if n.gone {
			continue
		}
		state := bfchoice.Leaving
		if n.state == bfroster.TargetReady {
			state = bfchoice.Ready
		}
		inbound := n.inbound.address()
		if w.direct {
			inbound = n.inbound.backend.Load().(string)
		}
		members = append(members, bfdirectory.Member{
			Home: n.home, FailureDomain: "princes", Service: n.service, Inbound: inbound, Peer: n.peer.address(),
			Target: bfchoice.Member{ID: n.name, FailureDomain: "princes", Slots: n.slots, State: state},
		})
	}
	for _, n := range w.nodes {
		if !n.deaf.Load() {
			n.directory.Swap(members)
		}
	}
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome string
	header  http.Header
	body    string
	// err is set where the answer was visibly cut or never came.
	err error
}

// order is the header by which a test's targets know a request.
const order = "X-Order"

// ask sends a request to the node as a caller.
func (n *node) ask(method, path, name string, header ...string) reply {
	return n.askFrom(context.Background(), method, path, name, strings.NewReader("fuel"), header...)
}

func (n *node) askFrom(ctx context.Context, method, path, name string, body io.Reader, header ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, body)
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set(order, name)
	for i := 0; i < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	response, err := n.world.http.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get(bfheader.Outcome), response.Header, string(data), err}
}

// earn has the entry earn retries of look-ups and of approvals.
func (n *node) earn(is *is.I, retries int) {
	is.Helper()
	const perRetry = 10
	for range retries * perRetry {
		is.Equal(n.ask("GET", lookUp, "early").outcome, bfheader.OutcomeDone)
		is.Equal(n.ask("POST", approve, "early").outcome, bfheader.OutcomeDone)
	}
}

// later asks in the background.
func later(ask func() reply) <-chan reply {
	answer := make(chan reply, 1)
	go func() { answer <- ask() }()
	return answer
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// table is the platform's table with an outage and a standstill.
type table struct {
	*bfstore.Memory
	away atomic.Bool
	// stuck holds calls until their context ends, while it is set.
	stuck atomic.Bool
	calls atomic.Int64
}

func (s *table) Get(ctx context.Context, keys ...string) ([]bfstore.Row, error) {
	if err := s.hold(ctx); err != nil {
		return nil, err
	}
	return s.Memory.Get(ctx, keys...)
}

func (s *table) Commit(ctx context.Context, tx bfstore.Transaction) error {
	if err := s.hold(ctx); err != nil {
		return err
	}
	return s.Memory.Commit(ctx, tx)
}

func (s *table) hold(ctx context.Context) error {
	s.calls.Add(1)
	if s.stuck.Load() {
		<-ctx.Done()
	}
	if s.away.Load() || ctx.Err() != nil {
		return &bfstore.UnavailableError{Reason: "outage"}
	}
	return nil
}

// target is a fake target with a ledger of what it ran.
type target struct {
	t           testing.TB
	server      *http.Server
	address     string
	incarnation int64
	slots       int
	leaving     atomic.Bool
	mu          sync.Mutex
	runs        map[string]int
	headers     map[string]http.Header
	// handle answers; nil answers "ran" and the order.
	handle func(w http.ResponseWriter, r *http.Request)
}

func newTarget(t testing.TB) *target {
	f := &target{t: t, incarnation: time.Now().UnixMicro(), slots: 32, runs: map[string]int{}, headers: map[string]http.Header{}}
	f.server, f.address = serve(t, f)
	t.Cleanup(f.kill)
	return f
}

func (f *target) kill() { _ = f.server.Close() }

func (f *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	name := r.Header.Get(order)
	f.mu.Lock()
	f.runs[name]++
	f.headers[name] = r.Header
	handle := f.handle
	f.mu.Unlock()
	if handle != nil {
		handle(w, r)
		return
	}
	_, _ = io.WriteString(w, "ran "+name)
}

func (f *target) does(handle func(w http.ResponseWriter, r *http.Request)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handle = handle
}

// ran is how often the target began to run the order.
func (f *target) ran(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[name]
}

// all is how often it began to run orders whose names start so.
func (f *target) all(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for name, runs := range f.runs {
		if strings.HasPrefix(name, prefix) {
			sum += runs
		}
	}
	return sum
}

func (f *target) header(name string) http.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.headers[name]
}

// ran sums over all targets.
func (w *world) ran(name string) int {
	sum := 0
	for _, n := range w.nodes {
		sum += n.target.ran(name)
	}
	return sum
}

// held makes the targets run until release is closed.
func (w *world) held() (release chan struct{}) {
	release = make(chan struct{})
	for _, n := range w.nodes {
		n.target.does(func(rw http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
				_, _ = io.WriteString(rw, "ran "+r.Header.Get(order))
			case <-r.Context().Done():
			}
		})
	}
	return release
}

func TestEachNodeAnswers(t *testing.T) {
	is := is.New(t)
	for _, protocol := range []bfforward.Protocol{bfforward.HTTP1, bfforward.HTTP2} {
		w := newWorld(t, protocol, 2)
		for _, n := range w.nodes {
			got := n.ask("POST", nominate, "n1", bfheader.IdempotencyKey, "key of "+n.name)
			is.NoErr(got.err)
			is.Equal(got.body, "ran n1")
			is.Equal(got.outcome, bfheader.OutcomeDone)
		}
	}
}
