package bfmesh

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// readiness answers the platform's question whether the node takes callers.
type readiness struct {
	configured func() bool
	leaving    atomic.Bool
}

// ServeHTTP answers 200 while the node takes callers.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() || !r.configured() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// leaveAfter is how long the node serves other nodes' requests on. Callers
	// stay for about two of the platform's questions, a second apart; a node that
	// left at once would take its target's slots out of the fleet for all that time.
	leaveAfter = 1200 * time.Millisecond
	// closeAfter is when callers are refused. Those that still come then come on
	// kept connections and go on for seconds: waiting for them keeps the node, and
	// so its target, out of the fleet until it is killed.
	closeAfter = 2300 * time.Millisecond
	// lastShare is the part of the grace at which the node exits whatever runs:
	// later it would be killed in the middle of an answer.
	lastShare = 0.92
	// checkInterval is how often the end of the work is looked for.
	checkInterval = 20 * time.Millisecond
)

// drain is the graceful stop: readiness goes first, callers and other nodes are
// served on for a while, and the process exits when nothing is in flight.
func (n *node) drain(ctx context.Context) {
	began := n.timer.Now()
	last := time.Duration(lastShare * float64(n.settings.Grace.Std()))
	n.ready.leaving.Store(true)
	n.entry.Leave(began.Add(last))
	for {
		passed := n.timer.Now().Sub(began)
		if passed > leaveAfter {
			n.host.Leave()
		}
		if passed > closeAfter {
			n.entry.Close()
			if n.entry.Active() == 0 && n.host.Running() == 0 && n.presence.InSync() {
				return
			}
		}
		if passed > last || n.timer.Wait(ctx, checkInterval) != nil {
			return
		}
	}
}
