package bfsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/bftrial/internal/bfledger"
	"bilberryflow.org/bftrial/internal/bfproxy"
	"bilberryflow.org/bftrial/internal/bfsimtarget"
)

// stopLimit exceeds the nodes' configured grace period.
const stopLimit = 8 * time.Second

// fault is one kind of injected fault; run returns when the fault is over.
type fault struct {
	name string
	run  func(h *harness, n *nodeSlot, length time.Duration)
}

var faults = []fault{
	{"stop", (*harness).stopNode},
	{"stop", (*harness).stopNode},
	{"kill", (*harness).killNode},
	{"pause", (*harness).pauseNode},
	{"hang up", (*harness).sendHangUp},
	{"store silent for a node", storeFault(bfproxy.Silent)},
	{"store one way for a node", storeFault(bfproxy.OneWay)},
	{"store refuses a node", storeFault(bfproxy.Refuse)},
	{"store down", platformFault("down")},
	{"store silent", platformFault("silent")},
	{"store slow", platformFault("slow")},
	{"store loses answers", platformFault("lose-answers")},
	{"store writes late", platformFault("late-writes")},
	{"store drops history", (*harness).dropHistory},
	{storeRestored, (*harness).restoreStore},
	{"target silent", targetFault(bfproxy.Silent)},
	{"target reset", (*harness).resetTarget},
	{"target slow", (*harness).slowTarget},
	{"target loses answers", loseResponses},
	{"target answers twice", responseFault((*bfsimtarget.Target).DuplicateResponses)},
	{"target replaced", (*harness).replaceTarget},
	{"target replaced", (*harness).replaceTarget},
	{"change", (*harness).changeVersion},
	{"change", (*harness).changeVersion},
}

// crashing is added to faults if Options.Crashing is set.
var crashing = fault{crashingRequest, (*harness).sendCrashingRequests}

// limited is added to faults if Options.Limits is set.
var limited = fault{"target names a limit", (*harness).nameLimit}

// leavingInAnswers is added likewise.
var leavingInAnswers = fault{"target leaves by its answers", (*harness).leaveByAnswers}

// departing is added likewise. Beside other faults a departure may stay without acknowledgement.
var departing = []fault{
	{"target departs, late heartbeat", func(h *harness, n *nodeSlot, _ time.Duration) { _ = h.depart(n, departure{late: 1}) }},
	{"target drains, late heartbeat", func(h *harness, n *nodeSlot, _ time.Duration) {
		_ = h.depart(n, departure{late: 1, announced: true})
	}},
}

// scenarios are faults that can be selected by name with Options.Only.
var scenarios = []fault{
	crashing,
	{fleetKilled, (*harness).killFleetBetweenCrashes},
	{goodRollout, (*harness).rollOutGoodVersion},
	{badRollout, (*harness).rollOutBadVersion},
	{readersSilenced, (*harness).silenceReaders},
	{limitedTargets, (*harness).limitTargets},
	{leavesInAnswers, (*harness).leaveInTurn},
	{endlessTargets, inTurn((*bfsimtarget.Target).SendEndlessly)},
	{faultyRefusals, inTurn((*bfsimtarget.Target).RefuseFaultily)},
	{lateHeartbeats, departInTurn(
		departure{late: 1, restart: (*harness).killNode}, departure{late: 1, announced: true, restart: (*harness).stopNode},
		departure{late: 1, restart: (*harness).stopNode}, departure{late: 1, announced: true, restart: (*harness).killNode},
	)},
	{storedRows, departInTurn(
		departure{storeDown: true, restart: (*harness).killNode}, departure{storeDown: true, announced: true, restart: (*harness).killNode},
		departure{storeDown: true, restart: (*harness).stopNode}, departure{storeDown: true, announced: true, restart: (*harness).stopNode},
	)},
	{turnedAway, departInTurn(
		departure{late: 1, refused: true, restart: (*harness).killNode}, departure{late: 1, refused: true, announced: true},
		departure{late: 1, refused: true}, departure{late: 1, refused: true, announced: true, restart: (*harness).stopNode},
	)},
	{storeLost, departInTurn(
		departure{late: 2, storeLost: true, restart: (*harness).killNode}, departure{late: 2, storeLost: true, announced: true, restart: (*harness).stopNode},
	)},
	{departingOnly, departInTurn(
		departure{late: 1}, departure{late: 1, announced: true}, departure{late: 1, storeDown: true}, departure{late: 1, storeDown: true, announced: true},
	)},
}

// runFaults injects overlapping faults while callers send requests.
func (h *harness) runFaults() {
	ctx, stop := context.WithCancel(h.group.Context())
	callers := make(chan struct{}, h.options.Callers)
	for range h.options.Callers {
		h.group.Go("caller", func(context.Context) error {
			defer func() { callers <- struct{}{} }()
			return h.runCaller(ctx)
		})
	}
	h.group.Go("watch versions", func(context.Context) error { return h.watchVersions(ctx) })
	waitWorkspaces := h.ledger.Start(ctx, bfledger.Load{
		Group: h.group, Length: h.options.Faults, Send: h.sendKeyed, Write: h.writeNextVersion, Report: h.checkError,
	})
	h.injectFaults()
	// Callers continue after the last fault, when every node must serve again.
	if err := h.awaitServing(20 * time.Second); err != nil {
		h.addViolation("fleet did not recover after the last fault: %v", err)
	}
	stop()
	for range h.options.Callers {
		<-callers
	}
	waitWorkspaces()
}

func (h *harness) injectFaults() {
	if h.options.Only != "" {
		h.injectScenario()
		return
	}
	candidates := faults
	if h.options.Crashing {
		candidates = append(slices.Clone(candidates), crashing)
	}
	if h.options.Limits {
		candidates = append(slices.Clone(candidates), limited, limited, leavingInAnswers)
	}
	if h.options.Departures {
		candidates = append(slices.Clone(candidates), departing...)
	}
	if h.options.Workspaces {
		candidates = append(slices.Clone(candidates), lengthened...)
	}
	began := time.Now()
	done := make(chan struct{})
	started := 0
	for time.Since(began) < h.options.Faults {
		f := candidates[h.rand.IntN(len(candidates))]
		n := h.allNodes()[h.rand.IntN(len(h.allNodes()))]
		length := time.Duration(200+h.rand.IntN(2500)) * time.Millisecond
		fmt.Fprintf(h.out, "%6.2f %s %s %v\n", time.Since(began).Seconds(), f.name, n.process.Settings().Instance, length)
		started++
		h.group.Go("fault", func(context.Context) error {
			f.run(h, n, length)
			done <- struct{}{}
			return nil
		})
		time.Sleep(time.Duration(100+h.rand.IntN(700)) * time.Millisecond)
	}
	for range started {
		<-done
	}
}

func (h *harness) injectScenario() {
	for _, f := range scenarios {
		if f.name == h.options.Only {
			f.run(h, h.allNodes()[h.rand.IntN(len(h.allNodes()))], h.options.Faults)
			return
		}
	}
	h.addViolation("unknown scenario %q", h.options.Only)
}

func (h *harness) checkError(action string, err error) {
	if err != nil {
		h.addViolation("%s: %v", action, err)
	}
}

// awaitStart waits until the node's process serves. A signal sent before the program
// installs its handlers terminates it, and on a busy machine that can take hundreds of
// milliseconds. TestSignalWhileSettingsAreRead in lib/bfprogram covers signals
// between the program's start and serving.
func (h *harness) awaitStart(n *nodeSlot) {
	h.checkError("start of a node", h.fleet.AwaitResponse(n.process.Process(), "http://"+n.process.ReadyAddress()))
}

func (h *harness) stopNode(n *nodeSlot, _ time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.awaitStart(n)
	n.periods.During(true, func() {
		code, err := n.process.Process().Stop(stopLimit)
		h.checkError("stop of a node", err)
		if code != 0 {
			h.addViolation("a node stopped with exit code %d", code)
		}
		h.checkError("restart", h.fleet.RestartMeshNode(n.process))
	})
}

func (h *harness) killNode(n *nodeSlot, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.periods.During(false, func() {
		h.checkError("kill of a node", n.process.Process().Kill())
		time.Sleep(length / 4)
		h.checkError("restart", h.fleet.RestartMeshNode(n.process))
	})
}

func (h *harness) pauseNode(n *nodeSlot, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.periods.During(false, func() {
		h.checkError("pause", n.process.Process().Signal(syscall.SIGSTOP))
		time.Sleep(length)
		h.checkError("resume", n.process.Process().Signal(syscall.SIGCONT))
	})
}

func (h *harness) sendHangUp(n *nodeSlot, _ time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.awaitStart(n)
	n.periods.During(true, func() { h.checkError("hang up", n.process.Process().Signal(syscall.SIGHUP)) })
}

// withStoreFault runs a fault of the store and records when it ended.
func (h *harness) withStoreFault(fault func()) {
	fault()
	h.extendStoreFault(time.Now())
}

// extendStoreFault records a time at which a fault of the store ends.
func (h *harness) extendStoreFault(end time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if end.After(h.storeFaultEnd) {
		h.storeFaultEnd = end
	}
}

func storeFault(mode bfproxy.Mode) func(*harness, *nodeSlot, time.Duration) {
	return func(h *harness, n *nodeSlot, length time.Duration) {
		h.withStoreFault(func() {
			n.store.Set(mode, 0)
			if mode == bfproxy.Refuse {
				n.store.Reset()
			}
			time.Sleep(length)
			n.store.Set(bfproxy.Pass, 0)
			// A silent proxy discards data, so its connections can't be resumed.
			n.store.Reset()
		})
	}
}

func platformFault(mode string) func(*harness, *nodeSlot, time.Duration) {
	return func(h *harness, _ *nodeSlot, length time.Duration) {
		h.withStoreFault(func() {
			h.checkError("platform fault", h.fleet.EnableFault(bffleet.Fault{Mode: mode, For: length.String(), Delay: "300ms", Percent: 70}))
			time.Sleep(length)
		})
	}
}

func (h *harness) dropHistory(*nodeSlot, time.Duration) {
	h.withStoreFault(func() { h.checkError("drop history", h.fleet.DropHistory()) })
}

// storeRestored is the name of the fault that restores the store from an older copy.
const storeRestored = "store restored"

// restoreStore takes the store away and brings it back from a copy that is as old as length. The
// operator then writes again what it had written.
func (h *harness) restoreStore(_ *nodeSlot, length time.Duration) {
	h.withStoreFault(func() {
		const away = 300 * time.Millisecond
		h.checkError("platform fault", h.fleet.EnableFault(bffleet.Fault{Mode: "down", For: away.String()}))
		time.Sleep(away / 2)
		h.checkError("restore", h.fleet.RestoreStore(length))
		time.Sleep(away)
		h.checkError("write again", h.writeVersionAgain())
	})
}

func (n *nodeSlot) withTargetFault(fault func(t *bfsimtarget.Target)) {
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	n.periods.During(false, func() { fault(n.target) })
}

func targetFault(mode bfproxy.Mode) func(*harness, *nodeSlot, time.Duration) {
	return func(_ *harness, n *nodeSlot, length time.Duration) {
		n.withTargetFault(func(t *bfsimtarget.Target) {
			t.Proxy().Set(mode, 0)
			time.Sleep(length)
			t.Proxy().Set(bfproxy.Pass, 0)
			t.Proxy().Reset()
		})
	}
}

func (h *harness) resetTarget(n *nodeSlot, _ time.Duration) {
	n.withTargetFault(func(t *bfsimtarget.Target) { t.Proxy().Reset() })
}

func (h *harness) slowTarget(n *nodeSlot, length time.Duration) {
	n.withTargetFault(func(t *bfsimtarget.Target) {
		t.Proxy().Set(bfproxy.Pass, 150*time.Millisecond)
		time.Sleep(length)
		t.Proxy().Set(bfproxy.Pass, 0)
	})
}

// responseFault returns the fault of a target that handles a part of its responses as set says.
func responseFault(set func(t *bfsimtarget.Target, percent int32)) func(*harness, *nodeSlot, time.Duration) {
	return func(_ *harness, n *nodeSlot, length time.Duration) {
		n.withTargetFault(func(t *bfsimtarget.Target) {
			set(t, 40)
			time.Sleep(length)
			set(t, 0)
		})
	}
}

var loseResponses = responseFault((*bfsimtarget.Target).LoseResponses)

// endlessTargets is the name of the scenario in which targets send responses without an end.
const endlessTargets = "targets send without end"

// faultyRefusals is the name of the scenario in which targets repeat refusals and refuse what ran.
const faultyRefusals = "targets refuse faultily"

// inTurn returns the scenario in which the target of one node after the other handles a part of its
// responses as set says.
func inTurn(set func(t *bfsimtarget.Target, percent int32)) func(*harness, *nodeSlot, time.Duration) {
	const turn = 500 * time.Millisecond
	return func(h *harness, _ *nodeSlot, length time.Duration) {
		for began, at := time.Now(), 0; time.Since(began) < length; at++ {
			responseFault(set)(h, h.allNodes()[at%len(h.allNodes())], turn)
		}
	}
}

// replaceTarget drains a target and starts a new incarnation at the same node.
func (h *harness) replaceTarget(n *nodeSlot, length time.Duration) {
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	n.periods.During(true, func() {
		n.target.Stop(h.group.Context(), length > time.Second)
		h.startNext(n)
	})
}

func (h *harness) changeVersion(*nodeSlot, time.Duration) {
	h.checkError("change", h.writeNextVersion())
}

// watchVersions repeatedly checks on each node that the newest version's route is served.
func (h *harness) watchVersions(ctx context.Context) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, n := range h.allNodes() {
			h.checkNodeVersion(ctx, client, n)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
