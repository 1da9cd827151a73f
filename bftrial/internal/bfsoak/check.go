package bfsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"bilberryflow.org/bftrial/internal/bfcallerclient"
	"bilberryflow.org/bftrial/internal/bfrunlog"
	"bilberryflow.org/lib/bftraffic"
)

const (
	// maxDrainDelay is how long after its departure was acknowledged a target may
	// still start running requests.
	maxDrainDelay = 2 * time.Second
	// maxAnswerDelay is how long after its route's timeout a request may remain
	// unanswered. It allows for all processes sharing one machine.
	maxAnswerDelay = time.Second
	// maxApplyDelay is how long a node without faults may take to apply a version.
	maxApplyDelay = 3 * time.Second
)

// checkNodeVersion requests the newest version's route. The version must be applied in
// time, and a process must not lose a version that it has served.
func (h *harness) checkNodeVersion(ctx context.Context, client *http.Client, n *nodeSlot) {
	process := n.process.Process()
	h.mu.Lock()
	newest, seen := h.version, h.seen[process]
	late := time.Since(h.committed[newest]) > maxApplyDelay && time.Since(h.storeFaultEnd) > maxApplyDelay+bfrunlog.SettleTime
	h.mu.Unlock()
	o := h.sendRequest(ctx, client, n, true, fmt.Sprintf("v%d", newest))
	switch {
	case process != n.process.Process():
		// The process was restarted meanwhile, so the result can't be attributed.
	case o.Status == http.StatusOK:
		h.mu.Lock()
		h.seen[process] = newest
		h.mu.Unlock()
	case o.Status == http.StatusNotFound && seen >= newest:
		h.addViolation("node %s rolled back: it no longer serves version %d", process.Name(), seen)
	case o.Status == http.StatusNotFound && late && !n.periods.Had(o.Began.Add(-maxApplyDelay), o.Ended, false) && !n.periods.Had(o.Began.Add(-maxApplyDelay), o.Ended, true):
		h.addViolation("node %s has not applied version %d %v after it was written", process.Name(), newest, time.Since(h.committedAt(newest)))
	}
}

func (h *harness) committedAt(v bftraffic.Version) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.committed[v]
}

// check compares the outcomes of all requests with the runs recorded by the targets.
func (h *harness) check() {
	all, served := h.outcomes.All(), 0
	for _, o := range all {
		h.checkOutcome(o)
		if o.Status == http.StatusOK {
			served++
		}
	}
	fmt.Fprintf(h.out, "%d requests, %d served\n", len(all), served)
	if served*2 < len(all) {
		h.addViolation("only %d of %d requests were served", served, len(all))
	}
	h.checkQuarantine()
	h.checkLimits()
	h.checkLeavings()
	h.checkWorkspaces()
	for incarnation, late := range h.runLog.LateRuns() {
		if late > maxDrainDelay {
			h.addViolation("target %s started a request %v after its departure was acknowledged", incarnation, late)
		}
	}
}

func (h *harness) checkOutcome(o outcome) {
	violation := o.Violation(bfcallerclient.Circumstances{
		Runs: h.runLog.RunCount(o.ID), AnswerLimit: routeTimeout + maxAnswerDelay,
		Calm:            !o.node.periods.Had(o.Began, o.Ended, false),
		Maintained:      o.node.periods.Had(o.Began, o.Ended, true) && !h.anyUnplannedFault(o),
		KeyMayBeUnknown: h.ledger.MayBeUnknown(o.ID, o.Ended),
	})
	if violation != "" {
		h.addViolation("%s %s", o.ID, violation)
	}
}

// anyUnplannedFault reports whether any node had an unplanned fault during the request.
func (h *harness) anyUnplannedFault(o outcome) bool {
	return slices.ContainsFunc(h.allNodes(), func(n *nodeSlot) bool { return n.periods.Had(o.Began, o.Ended, false) })
}
