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
	// closeShare is the part of the grace after which new requests are refused:
	// those taken before still have the rest of it to end.
	closeShare = 0.45
	// quietFor is how long no request may have come before the node exits early.
	// Platforms stop sending callers after two questions a second apart.
	quietFor = 800 * time.Millisecond
	// earliest is when the node exits at the earliest, for the same reason.
	earliest = 2200 * time.Millisecond
	// lastShare is the part of the grace at which the node exits whatever runs:
	// later it would be killed in the middle of an answer.
	lastShare = 0.92
	// checkInterval is how often the end of the work is looked for.
	checkInterval = 50 * time.Millisecond
)

// drain is the graceful stop: readiness goes first, callers are served on until
// they have left, and the process exits when nothing is in flight.
//
// The node leaves the fleet at once, since its target is out of reach when it
// has gone; until others know, its refusals send their requests elsewhere.
func (n *node) drain(ctx context.Context) {
	began := n.timer.Now()
	grace := n.settings.Grace.Std()
	n.ready.leaving.Store(true)
	n.presence.Want(nil)
	n.host.Leave()
	n.entry.Leave()
	for {
		now := n.timer.Now()
		passed := now.Sub(began)
		if passed > time.Duration(closeShare*float64(grace)) {
			n.entry.Close()
		}
		idle := n.entry.Active() == 0 && n.host.Running() == 0 && now.Sub(n.entry.LastRequest()) > quietFor
		if idle && passed > earliest || passed > time.Duration(lastShare*float64(grace)) {
			return
		}
		if n.timer.Wait(ctx, checkInterval) != nil {
			return
		}
	}
}
