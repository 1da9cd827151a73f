package bfsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bilberryflow.org/bftrial/internal/bfrunlog"
	"bilberryflow.org/bftrial/internal/bfsimtarget"
)

const (
	// crashingRequest is the fault of a request that crashes every target that runs it.
	crashingRequest = "request that crashes targets"
	// fleetKilled is the fault of all nodes being killed between attempts of such a request.
	fleetKilled = "fleet killed between requests that crash targets"
	// crashingPrefix precedes the content ID in the path of such a request.
	crashingPrefix = "crash-"
	// minRestartDelay is the minimum time between a target's crash and its restart.
	minRestartDelay = 700 * time.Millisecond

	// A request is quarantined after it has crashed quarantineThreshold targets. All nodes
	// without faults must enforce the quarantine within quarantineDelay after the last of
	// these crashes; maxLateRuns is how many later runs are tolerated.
	quarantineThreshold = 3
	quarantineDelay     = 3 * time.Second
	maxLateRuns         = 3
)

// crashingContent returns the content ID of a path that crashes targets, or "" for other paths.
func crashingContent(path string) string {
	_, content, _ := strings.Cut(path, "/"+crashingPrefix)
	return content
}

// sendCrashingRequests sends one crashing request repeatedly to random nodes, each time with a new request ID.
//
// Only one such request is sent at a time, since each may crash three targets of a small fleet.
func (h *harness) sendCrashingRequests(_ *nodeSlot, length time.Duration) {
	if !h.crashing.TryLock() {
		return
	}
	defer h.crashing.Unlock()
	h.sendPathRepeatedly(newCrashingPath(), crashingLengthFactor*length)
}

func newCrashingPath() string {
	return fmt.Sprintf("/look-vault/%s%d", crashingPrefix, requests.Add(1))
}

func (h *harness) sendPathRepeatedly(path string, length time.Duration) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for began := time.Now(); time.Since(began) < length; {
		node := h.allNodes()[rand.IntN(len(h.allNodes()))]
		h.outcomes.Add(h.sendRequestTo(context.Background(), client, node, newID(), http.MethodGet, path))
		time.Sleep(time.Duration(50+rand.IntN(150)) * time.Millisecond)
	}
}

// crashingLengthFactor is the factor by which this fault lasts longer than others: the quarantine
// takes effect only after the third crash and quarantineDelay.
const crashingLengthFactor = 4

// killFleet kills all nodes at once and restarts them.
func (h *harness) killFleet(_ *nodeSlot, length time.Duration) {
	for _, n := range h.allNodes() {
		n.mu.Lock()
	}
	began := time.Now()
	for _, n := range h.allNodes() {
		h.checkError("kill of a node", n.process.Process().Kill())
	}
	time.Sleep(length / 4)
	for _, n := range h.allNodes() {
		h.checkError("restart", h.fleet.RestartMeshNode(n.process))
	}
	for _, n := range h.allNodes() {
		n.periods.Add(bfrunlog.FaultPeriod{From: began, To: time.Now()})
		n.mu.Unlock()
	}
}

// killFleetBetweenCrashes kills and restarts the fleet repeatedly, and sends a crashing request
// each time after the nodes have had time to recover the quarantine.
func (h *harness) killFleetBetweenCrashes(_ *nodeSlot, length time.Duration) {
	path := newCrashingPath()
	h.sendPathRepeatedly(path, length)
	for range fleetKills {
		h.killFleet(nil, time.Second)
		time.Sleep(quarantineDelay + recoveryMargin)
		h.sendPathRepeatedly(path, length)
	}
}

const (
	// fleetKills is how often the fleet is killed. If the quarantine were lost, the request
	// would crash quarantineThreshold targets after each kill.
	fleetKills = 2
	// recoveryMargin is added to quarantineDelay, which counts from the start of the processes.
	recoveryMargin = 500 * time.Millisecond
)

// startTarget starts a node's target of a version, and restarts it after a crash.
func (h *harness) startTarget(n *nodeSlot, version string) (*bfsimtarget.Target, error) {
	settings := n.process.Settings()
	t, err := bfsimtarget.Start(bfsimtarget.Config{
		Group: h.group, Log: h.runLog, Version: version, Reports: settings.Listen.Target, Calls: settings.Listen.Caller,
		Host: host, CallTimeout: routeTimeout / 2, CrashingContent: crashingContent,
		Crashed: func(t *bfsimtarget.Target, content string, began time.Time, first bool) {
			h.crashes.Add(content, bfrunlog.Crash{Began: began, Ended: time.Now(), Periods: &n.periods})
			if first {
				h.group.Go("restart a target", func(context.Context) error {
					h.restartTarget(n, t)
					return nil
				})
			}
		},
		Ran: h.ledger.RecordRun,
	})
	if err == nil && h.options.Workspaces {
		t.MakeNestedCalls()
	}
	return t, err
}

// restartTarget restarts a node's target after a crash, unless it was replaced meanwhile.
func (h *harness) restartTarget(n *nodeSlot, crashed *bfsimtarget.Target) {
	time.Sleep(minRestartDelay + time.Duration(rand.Int64N(int64(minRestartDelay))))
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	if n.target != crashed {
		return
	}
	h.startNext(n)
}

// startNext starts the target that follows a node's target.
func (h *harness) startNext(n *nodeSlot) {
	next, err := h.startTarget(n, n.target.Version())
	h.checkError("start of a target", err)
	if err == nil {
		n.target = next
	}
}

// checkQuarantine checks that crashing requests stop running once they should be quarantined.
func (h *harness) checkQuarantine() {
	for content, runs := range h.crashes.All() {
		if len(runs) < quarantineThreshold {
			continue
		}
		late := bfrunlog.LateCrashes(runs, runs[quarantineThreshold-1].Ended.Add(quarantineDelay), quarantineDelay)
		fmt.Fprintf(h.out, "%s%s: %d runs, %d of them late\n", crashingPrefix, content, len(runs), late)
		if late > maxLateRuns {
			h.addViolation("%s%s crashed %d targets, %d of them later than %v after the third crash", crashingPrefix, content, len(runs), late, quarantineDelay)
		}
	}
}
