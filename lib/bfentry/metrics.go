package bfentry

import (
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfmetric"
)

// metrics are what the entry counts.
type metrics struct {
	registry *bfmetric.Registry
	latency  *bfmetric.Family
}

func newMetrics(registry *bfmetric.Registry) metrics {
	return metrics{registry: registry, latency: registry.Family("entry_latency")}
}

func (m metrics) observe(c *call, end bfhost.Result, now time.Time) {
	outcome := outcomeName(end)
	m.registry.Counter("entry_" + outcome).Add(1)
	m.latency.Observe(c.route.Name()+" "+outcome, now.Sub(c.arrived))
}

// repeated counts a repeat that was asked for by what became of it.
func (m metrics) repeated(granted bool) {
	name := "repeats_denied"
	if granted {
		name = "repeats_granted"
	}
	m.registry.Counter(name).Add(1)
}

// unborne counts a repeat that was granted here and refused where its calls are paid.
func (m metrics) unborne() { m.registry.Counter("repeats_unborne").Add(1) }

// asked counts a question to a target by its place and whether it was refused.
func (m metrics) asked(far, refused bool) {
	name := "taken_near"
	switch {
	case far && refused:
		name = "refused_far"
	case far:
		name = "taken_far"
	case refused:
		name = "refused_near"
	}
	m.registry.Counter(name).Add(1)
}

func outcomeName(end bfhost.Result) string {
	switch end := end.(type) {
	case bfhost.Answered:
		if failed(end) {
			return "failed"
		}
		return "answered"
	case bfhost.Refused:
		return "refused_" + string(end.Reason)
	case bfhost.Shed:
		return "shed"
	case bfhost.Expired:
		return "expired"
	}
	return "lost"
}
