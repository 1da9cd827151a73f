package bfproof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberryflow.org/lib/bfheader"
)

// Guards against a quarantine of a crashing request that only some nodes enforce.
func TestFleetQuarantinesARequestThatCrashesTargets(t *testing.T) {
	h := newHarness(t, 8)
	const path = "/lookups/bad?crash=1&"
	const maxCrashes = 3 + 3 // crashes before the quarantine, and those until all nodes enforce it
	crashed := map[string]bool{}
	for range 8 {
		_ = h.send(rand.IntN(len(h.Nodes())), http.MethodGet, path, "bad", "")
		for _, n := range h.Nodes() {
			name := n.Settings().Instance
			if strings.Contains(h.Target(name).Log(), `"mark":"bad"`) && !crashed[name] {
				crashed[name] = true
			}
		}
	}
	t.Log("crashed: ", crashed)
	h.is.True(len(crashed) >= 3 && len(crashed) <= maxCrashes)
	for i := range h.Nodes() {
		h.eventually(func() bool {
			a := h.send(i, http.MethodGet, path, "bad", "")
			return a.outcome == bfheader.OutcomeNotRun && strings.Contains(a.body, "quarantined")
		})
	}
	for name := range crashed {
		h.is.NoErr(h.RestartTarget(h.Target(name), fmt.Sprint("target-", name, "-again")))
	}
	// A restarted node receives the quarantine by a probe.
	h.is.NoErr(h.Node("n0").Kill())
	h.is.NoErr(h.RestartNode(h.Node("n0")))
	h.awaitServing(0)
	time.Sleep(3 * time.Second)
	a := h.send(0, http.MethodGet, path, "bad", "")
	h.is.Equal(a.outcome, bfheader.OutcomeNotRun)
	h.is.Equal(h.send(1, http.MethodGet, "/lookups/bad", "good", "").outcome, bfheader.OutcomeDone)
	h.is.True(h.runs()["bad"] <= maxCrashes-len(crashed)) // logs of restarted targets exclude earlier runs
}
