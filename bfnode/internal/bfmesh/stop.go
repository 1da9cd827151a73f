package bfmesh

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// readiness serves the platform's readiness check.
type readiness struct {
	configured func() bool
	leaving    atomic.Bool
}

// ServeHTTP responds with 200 while the node accepts callers, else with 503.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() || !r.configured() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// leaveAfter is the delay before the node refuses requests of other nodes. Callers
	// keep using the node for about two readiness checks, one second apart; refusing at
	// once would take the target's slots out of the fleet for that time.
	leaveAfter = 1200 * time.Millisecond
	// closeAfter is the delay before callers are refused. Later ones use kept connections
	// and would continue for seconds: waiting for them would keep the node, and so its
	// target, out of the fleet until it is killed.
	closeAfter = 2300 * time.Millisecond
	// maxGraceFraction is the fraction of the grace period after which the node exits even
	// with requests in flight, before it is killed in the middle of a response.
	maxGraceFraction = 0.92
	// checkInterval is the interval of checks for the end of the work in flight.
	checkInterval = 20 * time.Millisecond
)

// drain stops the node gracefully: the readiness check fails first, callers and other
// nodes are served for a while longer, and the process exits when nothing is in
// flight.
func (n *node) drain(ctx context.Context) {
	began := n.timer.Now()
	exitAfter := time.Duration(maxGraceFraction * float64(n.settings.Grace.Std()))
	n.ready.leaving.Store(true)
	n.entry.Leave(began.Add(exitAfter))
	for {
		elapsed := n.timer.Now().Sub(began)
		if elapsed > leaveAfter {
			n.host.Leave()
		}
		if elapsed > closeAfter {
			n.entry.Close()
			if n.entry.Active() == 0 && n.host.Running() == 0 && n.presence.InSync() && n.departures.InSync() {
				return
			}
		}
		if elapsed > exitAfter || n.timer.Wait(ctx, checkInterval) != nil {
			return
		}
	}
}
