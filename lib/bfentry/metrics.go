package bfentry

import (
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfoutcome"
)

// metrics are the entry's counters and histograms.
type metrics struct {
	registry *bfmetric.Registry
	latency  *bfmetric.Family
}

func newMetrics(registry *bfmetric.Registry) metrics {
	return metrics{registry: registry, latency: registry.Family("entry_latency")}
}

// observe records the outcome and latency of a request.
func (m metrics) observe(c *call, result bfhost.Result, now time.Time) {
	outcome := bfoutcome.Name(result)
	m.registry.Counter("entry_" + outcome).Add(1)
	m.latency.Observe(c.route.Name()+" "+outcome, now.Sub(c.arrived))
}

// countRetry counts a requested retry by whether the budget granted it.
func (m metrics) countRetry(granted bool) {
	name := "repeats_denied"
	if granted {
		name = "repeats_granted"
	}
	m.registry.Counter(name).Add(1)
}

// countHedge counts second copies: those sent, denied by a budget, without a target that has room, and
// those that were answered before the first copy.
func (m metrics) countHedge(outcome string) { m.registry.Counter("hedges_" + outcome).Add(1) }

// countUnproven counts a target's refusal that did not state that the request has not run.
func (m metrics) countUnproven() { m.registry.Counter("refusals_unproven").Add(1) }

// countOverBudget counts a retry that was granted here but refused by the target's node,
// which has no budget left for the nested calls of the run.
func (m metrics) countOverBudget() { m.registry.Counter("repeats_unborne").Add(1) }

// countBeyondShare counts a send refused because its workspace has its fair share of the target.
func (m metrics) countBeyondShare() { m.registry.Counter("refused_beyond_share").Add(1) }

// countAcceptance counts a send by the target's failure domain and whether it was refused.
func (m metrics) countAcceptance(remote, refused bool) {
	name := "taken_near"
	switch {
	case remote && refused:
		name = "refused_far"
	case remote:
		name = "taken_far"
	case refused:
		name = "refused_near"
	}
	m.registry.Counter(name).Add(1)
}
