package bfcaller

import (
	"time"

	"bilberryflow.org/lib/bfmetric"
)

// metrics counts the requests of callers by result.
type metrics struct {
	byClass, byTenant                 *bfmetric.Family
	done, notRun, unknown, invalid    *bfmetric.Counter
	retries, resolves, contradictions *bfmetric.Counter
}

func newMetrics(registry *bfmetric.Registry) metrics {
	return metrics{
		byClass:  registry.Family("entry_latency_by_class"),
		byTenant: registry.Family("entry_latency_by_tenant"),
		done:     registry.Counter("entry_done"),
		notRun:   registry.Counter("entry_not_run"),
		unknown:  registry.Counter("entry_unknown"),
		invalid:  registry.Counter("entry_invalid"),
		retries:  registry.Counter("entry_retries"),
		resolves: registry.Counter("entry_resolves"),
		// Incremented when a node first reported that a request was not run and later that it was.
		contradictions: registry.Counter("entry_contradictions"),
	}
}

func (m metrics) observe(result Result, class, tenant string, latency time.Duration) {
	m.byClass.Observe(class, latency)
	if tenant != "" {
		m.byTenant.Observe(tenant, latency)
	}
	switch result.(type) {
	case Relayed:
		m.done.Add(1)
	case NotRun:
		m.notRun.Add(1)
	case Unknown, InProgress:
		m.unknown.Add(1)
	case Invalid:
		m.invalid.Add(1)
	}
}
