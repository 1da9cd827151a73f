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

// cluster is a set of nodes, each with a target, connected by real sockets. A fault
// proxy stands before each node's ports for the other nodes.
type cluster struct {
	t        testing.TB
	protocol bfforward.Protocol
	// direct bypasses the fault proxies.
	direct          bool
	timer           *bftimer.Service
	table           *table
	view            atomic.Pointer[bfroute.View]
	http            *http.Client
	background      *bfgroup.Group
	lastIncarnation atomic.Uint64
	// quarantine is shared by all nodes, as if crash records propagated at once.
	quarantine *bfquarantine.Book

	mu    sync.Mutex
	nodes []*node
}

type node struct {
	cluster       *cluster
	name          string
	inbound, peer *faultProxy
	// staleMembership is set while the node receives no membership changes.
	staleMembership atomic.Bool
	group           *bfgroup.Group
	directory       *bfdirectory.Directory
	metrics         *bfmetric.Registry
	clients         []*bfforward.Client
	calls           *bfpeer.Calls
	guard           *bfguard.Guard
	entry           *bfcaller.Entry
	handler         *bfcaller.Handler
	servers         []*http.Server
	callerAddress   string
	announceAddress atomic.Value // string, an address
	target          *target
	// load is the load header of the guard's last response.
	load atomic.Value // string
	// the node's state in the membership; guarded by the cluster's mu
	home    bfrecord.NodeIncarnation
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

func newCluster(t testing.TB, protocol bfforward.Protocol, nodes int) *cluster {
	c := &cluster{t: t, protocol: protocol, timer: bftimer.New(1), table: &table{Memory: bfstore.NewMemory()}, quarantine: bfquarantine.New("all")}
	c.lastIncarnation.Store(uint64(time.Now().UnixMicro()))
	c.http = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	c.background = bfgroup.New(context.Background())
	c.background.Go("timer", c.timer.Run)
	t.Cleanup(func() {
		c.background.Cancel()
		_ = c.background.Wait()
		c.http.CloseIdleConnections()
	})
	c.configure(nil)
	for i := range nodes {
		c.addNode(string(rune('a' + i)))
	}
	return c
}

// newEntry returns a cluster whose first node, a, is only an entry node: its own
// target accepts no requests.
func newEntry(t testing.TB, protocol bfforward.Protocol, targets int) (*cluster, *node) {
	c := newCluster(t, protocol, 1+targets)
	c.nodes[0].announceTarget(true)
	return c, c.nodes[0]
}

// configure installs a view; change may edit its objects.
func (c *cluster) configure(change func(policies map[string]*bfconfig.PolicySpec, event *bfconfig.EventSpec)) {
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
		c.t.Fatal(err)
	}
	view, err := bfroute.NewView(state)
	if err != nil {
		c.t.Fatal(err)
	}
	c.view.Store(view)
}

// addNode starts a node and its target, which sends heartbeats.
func (c *cluster) addNode(name string) *node {
	n := &node{cluster: c, name: name, service: service, target: newTarget(c.t)}
	n.inbound, n.peer = newFaultProxy(c.t, ""), newFaultProxy(c.t, "")
	n.start()
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	n.announceTarget(false)
	heartbeats := c.timer.Every(func() time.Duration { return bfannounce.Heartbeat }, func(time.Time) {
		c.background.Go("heartbeat", func(context.Context) error {
			_, _ = n.sendAnnouncement(n.target.leaving.Load())
			return nil
		})
	})
	c.t.Cleanup(func() {
		heartbeats.Stop()
		n.kill()
	})
	return n
}

// start runs the node under a new incarnation.
func (n *node) start() {
	c := n.cluster
	c.mu.Lock()
	n.home = bfrecord.NodeIncarnation{Instance: n.name, Incarnation: c.lastIncarnation.Add(1)}
	n.directory = bfdirectory.New("princes")
	n.state = bfroster.TargetNone
	c.mu.Unlock()
	n.group = bfgroup.New(context.Background())
	n.metrics = bfmetric.New()
	methods := bfpeer.Methods{}
	n.calls = bfpeer.NewCalls(methods, bfpeer.NewTraffic(n.metrics), n.group)
	options := bfforward.DefaultOptions()
	options.Protocol = c.protocol
	n.clients = []*bfforward.Client{bfforward.New(options), bfforward.New(bfforward.DefaultOptions())}
	minter := bfrecord.NewMinter(n.home)
	resolver := bfguard.Resolver{Calls: n.calls}
	n.guard = bfguard.New(bfguard.Config{
		Home: n.home, Service: service, ColdStart: func() time.Duration { return 0 },
		View: c.view.Load, Client: n.clients[1], Minter: minter, Timer: c.timer, Logger: bflog.Discard(),
		Metrics: n.metrics, Table: c.table, Directory: n.directory, Resolver: resolver, Spawn: n.group.Go, PublishState: n.publishState,
		Quarantine: c.quarantine,
	})
	for name, method := range n.guard.Methods() {
		methods[name] = method
	}
	n.entry = bfcaller.New(bfcaller.Config{
		View: c.view.Load, Directory: n.directory, Client: n.clients[0], Resolver: resolver,
		Minter: minter, Timer: c.timer, Metrics: n.metrics, Spawn: n.group.Go,
		Quarantine: c.quarantine,
	})
	n.handler = bfcaller.NewHandler(n.entry, 1<<20, 300*time.Millisecond)
	n.callerAddress = n.serve(n.handler)
	n.announceAddress.Store(n.serve(http.HandlerFunc(n.guard.ServeAnnouncements)))
	n.inbound.backend.Store(n.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		n.guard.ServeHTTP(rw, r)
		n.load.Store(rw.Header().Get(bfheader.Load))
	})))
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	n.group.Go("calls", func(ctx context.Context) error { return n.calls.Serve(ctx, peers) })
	n.peer.backend.Store(peers.Addr().String())
}

func (n *node) serve(handler http.Handler) string {
	server, address := serve(n.cluster.t, handler)
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

// kill stops the node abruptly.
func (n *node) kill() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.servers = nil
	n.calls.CloseAll()
	n.group.Cancel()
	n.inbound.closeConns()
	n.peer.closeConns()
	// Handlers of the closed servers may still start goroutines.
	eventually(n.cluster.t, "node ends", func() bool { return n.group.Running() == 0 })
	for _, client := range n.clients {
		client.Sweep(time.Now().Add(time.Hour), 0)
	}
}

// restart kills the node and starts it again under a new incarnation, with the same target.
func (n *node) restart() {
	n.kill()
	n.start()
	n.announceTarget(false)
}

// announceTarget sends an announcement of the target and returns the number of requests in flight.
func (n *node) announceTarget(leaving bool) int {
	n.target.leaving.Store(leaving)
	answer, err := n.sendAnnouncement(leaving)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return answer.InFlight
}

func (n *node) sendAnnouncement(leaving bool) (bfannounce.Answer, error) {
	return bfannounce.Send(context.Background(), n.cluster.http, n.announceAddress.Load().(string), bfannounce.Announcement{
		Incarnation: n.target.incarnation, Service: service, Address: n.target.address, Slots: n.target.slots, Leaving: leaving,
	})
}

func (n *node) publishState(state bfroster.TargetState, slots int) {
	c := n.cluster
	c.mu.Lock()
	n.state, n.slots = state, slots
	c.mu.Unlock()
	c.publishMembership()
}

// publishMembership updates the directory of every node whose membership is not stale.
func (c *cluster) publishMembership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []bfdirectory.Member
	for _, n := range c.nodes {
		if n.gone {
			continue
		}
		state := bfchoice.Leaving
		if n.state == bfroster.TargetReady {
			state = bfchoice.Ready
		}
		inbound := n.inbound.address()
		if c.direct {
			inbound = n.inbound.backend.Load().(string)
		}
		members = append(members, bfdirectory.Member{
			Home: n.home, FailureDomain: "princes", Service: n.service, Inbound: inbound, Peer: n.peer.address(),
			Target: bfchoice.Member{ID: n.name, FailureDomain: "princes", Slots: n.slots, State: state},
		})
	}
	for _, n := range c.nodes {
		if !n.staleMembership.Load() {
			n.directory.Swap(members)
		}
	}
}

// reply is the response that a caller received.
type reply struct {
	status  int
	outcome string
	header  http.Header
	body    string
	// err is set if the response was truncated or never arrived.
	err error
}

// order is the header by which the fake targets identify a request.
const order = "X-Order"

// send sends a request to the node as a caller.
func (n *node) send(method, path, name string, header ...string) reply {
	return n.sendBody(context.Background(), method, path, name, strings.NewReader("fuel"), header...)
}

func (n *node) sendBody(ctx context.Context, method, path, name string, body io.Reader, header ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerAddress+path, body)
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set(order, name)
	for i := 0; i < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	response, err := n.cluster.http.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get(bfheader.Outcome), response.Header, string(data), err}
}

// earnRetries fills the entry node's retry budgets for look-ups and approvals.
func (n *node) earnRetries(is *is.I, retries int) {
	is.Helper()
	const requestsPerRetry = 10
	for range retries * requestsPerRetry {
		is.Equal(n.send("GET", lookUp, "early").outcome, bfheader.OutcomeDone)
		is.Equal(n.send("POST", approve, "early").outcome, bfheader.OutcomeDone)
	}
}

// inBackground calls send in a goroutine and returns a channel for its reply.
func inBackground(send func() reply) <-chan reply {
	answer := make(chan reply, 1)
	go func() { answer <- send() }()
	return answer
}

// eventually fails the test unless the condition holds within 10 seconds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// table is the platform's table with simulated outages.
type table struct {
	*bfstore.Memory
	unavailable atomic.Bool
	// hanging blocks calls until their context ends.
	hanging atomic.Bool
	calls   atomic.Int64
}

func (t *table) Get(ctx context.Context, keys ...string) ([]bfstore.Row, error) {
	if err := t.checkOutage(ctx); err != nil {
		return nil, err
	}
	return t.Memory.Get(ctx, keys...)
}

func (t *table) Commit(ctx context.Context, tx bfstore.Transaction) error {
	if err := t.checkOutage(ctx); err != nil {
		return err
	}
	return t.Memory.Commit(ctx, tx)
}

func (t *table) checkOutage(ctx context.Context) error {
	t.calls.Add(1)
	if t.hanging.Load() {
		<-ctx.Done()
	}
	if t.unavailable.Load() || ctx.Err() != nil {
		return &bfstore.UnavailableError{Reason: "outage"}
	}
	return nil
}

// target is a fake target that records what it ran.
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
	// handle serves requests; nil means "ran" and the order.
	handle func(w http.ResponseWriter, r *http.Request)
}

func newTarget(t testing.TB) *target {
	fake := &target{t: t, incarnation: time.Now().UnixMicro(), slots: 32, runs: map[string]int{}, headers: map[string]http.Header{}}
	fake.server, fake.address = serve(t, fake)
	t.Cleanup(fake.kill)
	return fake
}

func (t *target) kill() { _ = t.server.Close() }

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	name := r.Header.Get(order)
	t.mu.Lock()
	t.runs[name]++
	t.headers[name] = r.Header
	handle := t.handle
	t.mu.Unlock()
	if handle != nil {
		handle(w, r)
		return
	}
	_, _ = io.WriteString(w, "ran "+name)
}

func (t *target) setHandler(handle func(w http.ResponseWriter, r *http.Request)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handle = handle
}

// runCount returns how often the target started to run the order.
func (t *target) runCount(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[name]
}

// runCountPrefix returns how often the target started to run orders with that name prefix.
func (t *target) runCountPrefix(prefix string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := 0
	for name, runs := range t.runs {
		if strings.HasPrefix(name, prefix) {
			sum += runs
		}
	}
	return sum
}

func (t *target) header(name string) http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.headers[name]
}

// runCount returns the sum over all targets.
func (c *cluster) runCount(name string) int {
	sum := 0
	for _, n := range c.nodes {
		sum += n.target.runCount(name)
	}
	return sum
}

// blockTargets makes the targets run requests until release is closed.
func (c *cluster) blockTargets() (release chan struct{}) {
	release = make(chan struct{})
	for _, n := range c.nodes {
		n.target.setHandler(func(rw http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
				_, _ = io.WriteString(rw, "ran "+r.Header.Get(order))
			case <-r.Context().Done():
			}
		})
	}
	return release
}

func TestEveryNodeServes(t *testing.T) {
	is := is.New(t)
	for _, protocol := range []bfforward.Protocol{bfforward.HTTP1, bfforward.HTTP2} {
		c := newCluster(t, protocol, 2)
		for _, n := range c.nodes {
			got := n.send("POST", nominate, "n1", bfheader.IdempotencyKey, "key of "+n.name)
			is.NoErr(got.err)
			is.Equal(got.body, "ran n1")
			is.Equal(got.outcome, bfheader.OutcomeDone)
		}
	}
}
