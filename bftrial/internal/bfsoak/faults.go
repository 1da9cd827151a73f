package bfsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
)

// stopLimit is longer than the grace of the nodes' settings.
const stopLimit = 8 * time.Second

// fault is one kind of harm; run returns when it is over.
type fault struct {
	name string
	run  func(w *world, n *nodeSlot, length time.Duration)
}

var faults = []fault{
	{"stop", (*world).stopNode},
	{"stop", (*world).stopNode},
	{"kill", (*world).killNode},
	{"pause", (*world).pauseNode},
	{"hang up", (*world).hangUp},
	{"store silent for a node", storeFault(silent)},
	{"store one way for a node", storeFault(oneWay)},
	{"store refuses a node", storeFault(refuse)},
	{"store down", platformFault("down")},
	{"store silent", platformFault("silent")},
	{"store slow", platformFault("slow")},
	{"store loses answers", platformFault("lose-answers")},
	{"store writes late", platformFault("late-writes")},
	{"store drops history", (*world).dropHistory},
	{"target silent", targetFault(silent)},
	{"target reset", (*world).resetTarget},
	{"target slow", (*world).slowTarget},
	{"target loses answers", (*world).loseAnswers},
	{"target answers twice", (*world).doubleAnswers},
	{"target replaced", (*world).replaceTarget},
	{"target replaced", (*world).replaceTarget},
	{"change", (*world).changeConfiguration},
	{"change", (*world).changeConfiguration},
}

// crashing is drawn beside faults where a run has requests that crash targets.
var crashing = fault{crashingRequest, (*world).sendCrashing}

// scenarios are faults that are injected alone, by their names.
var scenarios = []fault{
	crashing,
	{fleetKilled, (*world).killFleetWhileCrashing},
}

// play injects faults while callers call; faults come in series and overlap.
func (w *world) play() {
	ctx, stop := context.WithCancel(w.group.Context())
	callers := make(chan struct{}, w.options.Callers)
	for range w.options.Callers {
		w.group.Go("caller", func(context.Context) error {
			defer func() { callers <- struct{}{} }()
			return w.caller(ctx)
		})
	}
	w.group.Go("watch versions", func(context.Context) error { return w.watchVersions(ctx) })
	w.inject()
	// Callers go on into the calm, which must be served.
	if err := w.awaitServing(20 * time.Second); err != nil {
		w.violate("not served after the last fault: %v", err)
	}
	stop()
	for range w.options.Callers {
		<-callers
	}
}

func (w *world) inject() {
	if w.options.Only != "" {
		w.injectOnly()
		return
	}
	drawn := faults
	if w.options.Crashing {
		drawn = append(slices.Clone(faults), crashing)
	}
	began := time.Now()
	over := make(chan struct{})
	started := 0
	for time.Since(began) < w.options.Faults {
		f := drawn[w.rand.IntN(len(drawn))]
		n := w.nodes[w.rand.IntN(len(w.nodes))]
		length := time.Duration(200+w.rand.IntN(2500)) * time.Millisecond
		fmt.Fprintf(w.out, "%6.2f %s %s %v\n", time.Since(began).Seconds(), f.name, n.process.Settings().Instance, length)
		started++
		w.group.Go("fault", func(context.Context) error {
			f.run(w, n, length)
			over <- struct{}{}
			return nil
		})
		time.Sleep(time.Duration(100+w.rand.IntN(700)) * time.Millisecond)
	}
	for range started {
		<-over
	}
}

func (w *world) injectOnly() {
	for _, f := range scenarios {
		if f.name == w.options.Only {
			f.run(w, w.nodes[w.rand.IntN(len(w.nodes))], w.options.Faults)
			return
		}
	}
	w.violate("no scenario is called %q", w.options.Only)
}

func (w *world) report(what string, err error) {
	if err != nil {
		w.violate("%s: %v", what, err)
	}
}

// awaitStart waits until the node's process serves. What is sent to it before its
// first line of code runs no program can hear, and on a busy machine that line runs
// hundreds of milliseconds after the start; signals between that line and serving
// are the matter of TestSignalWhileSettingsAreRead in lib/bfprogram.
func (w *world) awaitStart(n *nodeSlot) {
	w.report("start of a node", w.fleet.Await(n.process.Process(), "http://"+n.process.Ready()))
}

func (w *world) stopNode(n *nodeSlot, _ time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w.awaitStart(n)
	n.harmed(true, func() {
		code, err := n.process.Process().Stop(stopLimit)
		w.report("stop of a node", err)
		if code != 0 {
			w.violate("a node stopped with code %d", code)
		}
		w.report("restart", w.fleet.RestartMeshNode(n.process))
	})
}

func (w *world) killNode(n *nodeSlot, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.harmed(false, func() {
		w.report("kill of a node", n.process.Process().Kill())
		time.Sleep(length / 4)
		w.report("restart", w.fleet.RestartMeshNode(n.process))
	})
}

func (w *world) pauseNode(n *nodeSlot, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.harmed(false, func() {
		w.report("pause", n.process.Process().Signal(syscall.SIGSTOP))
		time.Sleep(length)
		w.report("wake", n.process.Process().Signal(syscall.SIGCONT))
	})
}

func (w *world) hangUp(n *nodeSlot, _ time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w.awaitStart(n)
	n.harmed(true, func() { w.report("hang up", n.process.Process().Signal(syscall.SIGHUP)) })
}

// disturb notes that the store was not itself.
func (w *world) disturb(fault func()) {
	fault()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
}

func storeFault(mode proxyMode) func(*world, *nodeSlot, time.Duration) {
	return func(w *world, n *nodeSlot, length time.Duration) {
		w.disturb(func() {
			n.store.set(mode, 0)
			if mode == refuse {
				n.store.reset()
			}
			time.Sleep(length)
			n.store.set(pass, 0)
			// What a silent proxy took is gone; the connections are of no use.
			n.store.reset()
		})
	}
}

func platformFault(mode string) func(*world, *nodeSlot, time.Duration) {
	return func(w *world, _ *nodeSlot, length time.Duration) {
		w.disturb(func() {
			w.report("fault of the platform", w.fleet.SwitchFault(bffleet.Fault{Mode: mode, For: length.String(), Delay: "300ms", Percent: 70}))
			time.Sleep(length)
		})
	}
}

func (w *world) dropHistory(*nodeSlot, time.Duration) {
	w.disturb(func() { w.report("drop of the history", w.fleet.DropHistory()) })
}

func (n *nodeSlot) withTarget(fault func(t *incarnation)) {
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	n.harmed(false, func() { fault(n.target) })
}

func targetFault(mode proxyMode) func(*world, *nodeSlot, time.Duration) {
	return func(_ *world, n *nodeSlot, length time.Duration) {
		n.withTarget(func(t *incarnation) {
			t.proxy.set(mode, 0)
			time.Sleep(length)
			t.proxy.set(pass, 0)
			t.proxy.reset()
		})
	}
}

func (w *world) resetTarget(n *nodeSlot, _ time.Duration) {
	n.withTarget(func(t *incarnation) { t.proxy.reset() })
}

func (w *world) slowTarget(n *nodeSlot, length time.Duration) {
	n.withTarget(func(t *incarnation) {
		t.proxy.set(pass, 150*time.Millisecond)
		time.Sleep(length)
		t.proxy.set(pass, 0)
	})
}

func (w *world) loseAnswers(n *nodeSlot, length time.Duration) {
	n.withTarget(func(t *incarnation) {
		t.loseShare.Store(40)
		time.Sleep(length)
		t.loseShare.Store(0)
	})
}

func (w *world) doubleAnswers(n *nodeSlot, length time.Duration) {
	n.withTarget(func(t *incarnation) {
		t.doubleShare.Store(40)
		time.Sleep(length)
		t.doubleShare.Store(0)
	})
}

// replaceTarget drains a target and starts the next incarnation beside the same node.
func (w *world) replaceTarget(n *nodeSlot, length time.Duration) {
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	n.harmed(true, func() {
		n.target.stop(w.group.Context(), length > time.Second)
		next, err := w.startTarget(n)
		w.report("start of a target", err)
		if err == nil {
			n.target = next
		}
	})
}

func (w *world) changeConfiguration(*nodeSlot, time.Duration) {
	w.report("change", w.change())
}

// watchVersions asks each node which of the versions' routes it has.
func (w *world) watchVersions(ctx context.Context) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, n := range w.nodes {
			w.watchNode(ctx, client, n)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
