package bfsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/bftrial/internal/bfcallerclient"
	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/bftrial/internal/bfledger"
	"bilberryflow.org/bftrial/internal/bfproxy"
	"bilberryflow.org/bftrial/internal/bfrunlog"
	"bilberryflow.org/bftrial/internal/bfsimtarget"
	"bilberryflow.org/bftrial/internal/bfversion"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/platform/bfdialect"
)

// Options configures a soak.
type Options struct {
	// Binaries is the directory of the built programs.
	Binaries string
	Seed     uint64
	Nodes    int
	Callers  int
	// Faults is how long faults are injected; the run ends a few seconds later.
	Faults time.Duration
	// Crashing adds requests that crash targets to the faults.
	Crashing bool
	// Limits adds targets that name limits, or that they leave, in their answers to the faults.
	Limits bool
	// Workspaces adds workspaces with keys and limits, an operator who changes them, and faults that
	// outlast the proofs of nodes.
	Workspaces bool
	// Departures adds targets that depart and serve on, with heartbeats that arrive late, to the faults.
	Departures bool
	// Only names a single scenario to run instead of random faults.
	Only string
}

// nodeSlot is one node with its store proxy and target; restarts replace its process.
type nodeSlot struct {
	// mu serializes faults of the process.
	mu      sync.Mutex
	process *bffleet.MeshNode
	store   *bfproxy.Proxy
	ready   atomic.Bool

	targetMu sync.Mutex
	target   *bfsimtarget.Target

	periods bfrunlog.FaultPeriods
}

// harness is the state of one soak.
type harness struct {
	options Options
	rand    *rand.Rand
	out     io.Writer
	fleet   *bffleet.Fleet
	group   *bfgroup.Group
	// nodes is replaced, never changed, under nodesMu.
	nodesMu  sync.Mutex
	nodes    []*nodeSlot
	runLog   *bfrunlog.Log
	crashes  bfrunlog.Crashes
	outcomes outcomeLog
	// ledger and keyed hold the keys and the requests of workspaces; ledger is nil without them.
	ledger *bfledger.Ledger
	keyed  outcomeLog
	delays bfrunlog.Delays
	// crashing is held while a crashing request is being sent.
	crashing sync.Mutex

	mu      sync.Mutex
	version bftraffic.Version
	// committed is when each version was written.
	committed map[bftraffic.Version]time.Time
	// storeFaultEnd is when the last fault of the store ended.
	storeFaultEnd time.Time
	// seen is the newest version that each process has served.
	seen       map[*bffleet.Process]bftraffic.Version
	violations []string
	// leavings are the targets that said in their answers that they leave.
	leavings []leaving
}

// allNodes returns the nodes that have been started.
func (h *harness) allNodes() []*nodeSlot {
	h.nodesMu.Lock()
	defer h.nodesMu.Unlock()
	return h.nodes
}

func (h *harness) addViolation(format string, values ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, values...))
}

// Run runs a soak with one seed and returns the violations found. The error is of
// setting up the fleet.
func Run(options Options, out io.Writer) (violations []string, err error) {
	fleet, err := bffleet.New(options.Binaries)
	if err != nil {
		return nil, err
	}
	h := &harness{
		options: options, rand: rand.New(rand.NewPCG(options.Seed, options.Seed)), out: out, fleet: fleet,
		group: bfgroup.New(context.Background()), runLog: bfrunlog.New(),
		committed: map[bftraffic.Version]time.Time{}, seen: map[*bffleet.Process]bftraffic.Version{},
	}
	if options.Workspaces {
		h.ledger = bfledger.New()
	}
	defer func() {
		if err != nil || len(h.violations) > 0 {
			h.delays.Write(out)
			fleet.WriteLogs(out)
		}
		_ = fleet.Close()
	}()
	if err := h.start(); err != nil {
		return nil, err
	}
	h.runFaults()
	h.check()
	h.group.Cancel()
	return h.violations, nil
}

func (h *harness) start() error {
	if err := h.fleet.StartPlatform(bffleet.PlatformSettings{}); err != nil {
		return err
	}
	for i := range h.options.Nodes {
		if err := h.startNode(i); err != nil {
			return err
		}
	}
	if err := h.writeNextVersion(); err != nil {
		return err
	}
	h.group.Go("delays", h.delays.Watch)
	h.group.Go("readiness", h.pollReadiness)
	return h.awaitServing(30 * time.Second)
}

func (h *harness) startNode(i int) error { return h.startNodeWith(i, oldVersion, 0) }

// startNodeWith starts a node with a target of a version that fails a share of its runs.
func (h *harness) startNodeWith(i int, version string, failedPercent int32) error {
	store, err := bfproxy.New(h.group, h.fleet.StoreAddress())
	if err != nil {
		return err
	}
	process, err := h.fleet.StartMeshNode(bffleet.MeshSettings{
		Instance: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("zone-%d", i%3), Service: "vault",
		Mesh: h.ledger.Settings(),
	}, store.Address())
	if err != nil {
		return err
	}
	n := &nodeSlot{process: process, store: store}
	if n.target, err = h.startTarget(n, version); err != nil {
		return err
	}
	n.target.FailRuns(failedPercent)
	h.nodesMu.Lock()
	defer h.nodesMu.Unlock()
	h.nodes = append(slices.Clone(h.nodes), n)
	return nil
}

// writeNextVersion writes the next version. Each version adds a route that identifies it.
func (h *harness) writeNextVersion() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.version + 1
	if err := h.writeVersion(next); err != nil {
		return err
	}
	h.version = next
	h.committed[next] = time.Now()
	return nil
}

// writeVersionAgain writes the newest version again.
func (h *harness) writeVersionAgain() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.writeVersion(h.version)
}

// writeVersion writes a version; h.mu must be held.
func (h *harness) writeVersion(next bftraffic.Version) error {
	spec := bfversion.Spec(next, h.ledger != nil)
	data, err := bfdialect.EncodeWithKeys(spec, h.ledger.AddTo(&spec))
	if err != nil {
		return err
	}
	return h.fleet.WriteConfiguration(data)
}

// pollReadiness polls the readiness of each node, as the platform does.
func (h *harness) pollReadiness(ctx context.Context) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for ctx.Err() == nil {
		for _, n := range h.allNodes() {
			n.ready.Store(n.process.IsReady(client))
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// awaitServing waits until every node serves the newest version.
func (h *harness) awaitServing(limit time.Duration) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(limit)
	for _, n := range h.allNodes() {
		for {
			h.mu.Lock()
			route := fmt.Sprintf("v%d", h.version)
			h.mu.Unlock()
			o := h.sendRequest(context.Background(), client, n, true, route)
			if o.Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return &bfcallerclient.NotServingError{Node: n.process.Process().Name(), Route: route, Outcome: o.Outcome}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
