package bfsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/platform/bfdialect"
)

// Options of a soak.
type Options struct {
	// Binaries is the directory of the built programs.
	Binaries string
	Seed     uint64
	Nodes    int
	Callers  int
	// Faults is how long faults are injected; the run ends some seconds after.
	Faults time.Duration
	// Crashing has requests come under which targets end.
	Crashing bool
	// Only names the scenario that is played in place of faults that are drawn.
	Only string
}

// nodeSlot is the place of one node; its process is replaced by restarts.
type nodeSlot struct {
	// mu is held by one fault of the process at a time.
	mu      sync.Mutex
	process *bffleet.MeshNode
	store   *proxy
	ready   atomic.Bool

	targetMu sync.Mutex
	target   *incarnation

	harmMu sync.Mutex
	harms  []harm
}

// harm is a time in which a fault met the node or its target.
type harm struct {
	from, to time.Time
	// planned faults may not cost a request that was passed on.
	planned bool
}

func (n *nodeSlot) harmed(planned bool, fault func()) {
	began := time.Now()
	fault()
	n.mark(harm{began, time.Now(), planned})
}

func (n *nodeSlot) mark(h harm) {
	n.harmMu.Lock()
	defer n.harmMu.Unlock()
	n.harms = append(n.harms, h)
}

// wasHarmed reports whether any fault met the node between two moments.
func (n *nodeSlot) wasHarmed(from, to time.Time) bool {
	n.harmMu.Lock()
	defer n.harmMu.Unlock()
	for _, h := range n.harms {
		if from.Before(h.to) && to.After(h.from) {
			return true
		}
	}
	return false
}

// settleTime is how long after a fault its traces may last.
const settleTime = 4 * time.Second

// during reports whether a fault of the kind met the node between two moments or shortly before.
func (n *nodeSlot) during(from, to time.Time, planned bool) bool {
	n.harmMu.Lock()
	defer n.harmMu.Unlock()
	for _, h := range n.harms {
		if h.planned == planned && from.Before(h.to.Add(settleTime)) && to.After(h.from) {
			return true
		}
	}
	return false
}

// world is one run.
type world struct {
	options Options
	rand    *rand.Rand
	out     io.Writer
	fleet   *bffleet.Fleet
	group   *bfgroup.Group
	nodes   []*nodeSlot
	ledger  *ledger
	record  record
	// crashing is held while a request comes under which targets end.
	crashing sync.Mutex

	mu      sync.Mutex
	version bftraffic.Version
	// acked is when each version was written.
	acked map[bftraffic.Version]time.Time
	// faults is when the last fault of the store ended.
	disturbed time.Time
	// seen is the newest version that each process showed.
	seen       map[*bffleet.Process]bftraffic.Version
	violations []string
}

func (w *world) violate(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, values...))
}

// Run plays one seed and returns what broke a promise.
func Run(options Options, out io.Writer) (violations []string, err error) {
	fleet, err := bffleet.New(options.Binaries)
	if err != nil {
		return nil, err
	}
	w := &world{
		options: options, rand: rand.New(rand.NewPCG(options.Seed, options.Seed)), out: out, fleet: fleet,
		group: bfgroup.New(context.Background()), ledger: newLedger(),
		acked: map[bftraffic.Version]time.Time{}, seen: map[*bffleet.Process]bftraffic.Version{},
	}
	defer func() {
		if err != nil || len(w.violations) > 0 {
			fleet.Logs(out)
		}
		_ = fleet.Close()
	}()
	if err := w.start(); err != nil {
		return nil, err
	}
	w.play()
	w.check()
	w.group.Cancel()
	return w.violations, nil
}

func (w *world) start() error {
	if err := w.fleet.StartPlatform(bffleet.PlatformSettings{}); err != nil {
		return err
	}
	for i := range w.options.Nodes {
		if err := w.startNode(i); err != nil {
			return err
		}
	}
	if err := w.change(); err != nil {
		return err
	}
	w.group.Go("readiness", w.pollReady)
	return w.awaitServing(30 * time.Second)
}

func (w *world) startNode(i int) error {
	store, err := newProxy(w.group, w.fleet.StoreAddress())
	if err != nil {
		return err
	}
	process, err := w.fleet.StartMeshNode(bffleet.MeshSettings{
		Instance: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("zone-%d", i%3), Service: "vault",
	}, store.address())
	if err != nil {
		return err
	}
	n := &nodeSlot{process: process, store: store}
	if n.target, err = w.startTarget(n); err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	return nil
}

// change writes the next version. Each one adds a route by which it is known.
func (w *world) change() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.version + 1
	spec := bftraffic.Spec{Version: next, Services: []bftraffic.ServiceSpec{{Name: "vault", MaxConns: 100}}}
	add := func(prefix string, kind bftraffic.Kind) {
		spec.Routes = append(spec.Routes, bftraffic.RouteSpec{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, Timeout: routeTimeout, Objective: 300 * time.Millisecond,
			MaxAttempts: 2, Destinations: []bftraffic.Destination{{Service: "vault", Weight: 1}},
		})
	}
	add("/look-vault/", bftraffic.Idempotent)
	add("/approve-vault/", bftraffic.NonIdempotent)
	for v := bftraffic.Version(1); v <= next; v++ {
		add(fmt.Sprintf("/look-v%d/", v), bftraffic.Idempotent)
	}
	data, err := bfdialect.EncodeConfiguration(spec)
	if err == nil {
		err = w.fleet.Operate(data)
	}
	if err != nil {
		return err
	}
	w.version = next
	w.acked[next] = time.Now()
	return nil
}

// pollReady asks each node once a second whether it takes callers, as the platform does.
func (w *world) pollReady(ctx context.Context) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for ctx.Err() == nil {
		for _, n := range w.nodes {
			response, err := client.Get("http://" + n.process.Ready() + bfdialect.ReadyPath)
			if err == nil {
				response.Body.Close()
			}
			n.ready.Store(err == nil && response.StatusCode == http.StatusOK)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// awaitServing waits until every node serves the newest version.
func (w *world) awaitServing(limit time.Duration) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(limit)
	for _, n := range w.nodes {
		for {
			w.mu.Lock()
			route := fmt.Sprintf("v%d", w.version)
			w.mu.Unlock()
			o := w.ask(context.Background(), client, n, true, route)
			if o.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return &servingError{n.process.Process().Name(), route, o}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// servingError reports a node that does not serve a route.
type servingError struct {
	node    string
	route   string
	outcome outcome
}

// Error names the node, the route and what came in place of an answer.
func (e *servingError) Error() string {
	return fmt.Sprintf("node %s does not serve %s: status %d, %v", e.node, e.route, e.outcome.status, e.outcome.err)
}
