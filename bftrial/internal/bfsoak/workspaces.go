package bfsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bilberryflow.org/bftrial/internal/bfledger"
	"bilberryflow.org/bftrial/internal/bfproxy"
)

// lengthened are faults that outlast the proofs of nodes. They are added if Options.Workspaces is set.
var lengthened = []fault{
	{"long pause", lengthen((*harness).pauseNode)},
	{"store long silent for a node", lengthen(storeFault(bfproxy.Silent))},
	{"store long down", lengthen(platformFault("down"))},
}

// lengthen returns a fault that lasts several times as long. Versions may be late until it ends.
func lengthen(run func(*harness, *nodeSlot, time.Duration)) func(*harness, *nodeSlot, time.Duration) {
	return func(h *harness, n *nodeSlot, length time.Duration) {
		length = 3*length + time.Second
		h.extendStoreFault(time.Now().Add(length))
		run(h, n, length)
	}
}

// sendKeyed sends one request with a key, in rare cases to a node that is not ready.
func (h *harness) sendKeyed(ctx context.Context, client *http.Client, key *bfledger.Key) {
	node := h.allNodes()[rand.IntN(len(h.allNodes()))]
	if !node.ready.Load() && rand.IntN(3) > 0 {
		return
	}
	id, method, path := newID(), http.MethodGet, "/look-vault/"
	if rand.IntN(3) == 0 {
		method, path = http.MethodPost, "/approve-vault/"
	}
	h.keyed.Add(h.sendWithKey(ctx, client, node, id, method, path+id, key))
}

// checkWorkspaces checks the runs and refusals of all requests with keys.
func (h *harness) checkWorkspaces() {
	if h.ledger == nil {
		return
	}
	statuses := map[string]int{}
	for _, o := range h.keyed.All() {
		h.checkOutcome(o)
		statuses[fmt.Sprintf("%s %d", h.ledger.WorkspaceOf(o.ID), o.Status)]++
	}
	fmt.Fprintf(h.out, "answers: %v; ", statuses)
	var logs strings.Builder
	h.fleet.WriteLogs(&logs)
	h.violations = append(h.violations, h.ledger.Violations(logs.String())...)
	h.ledger.WriteCounts(h.out)
}
