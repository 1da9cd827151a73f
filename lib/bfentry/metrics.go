package bfentry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfretry"
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

// budgets holds the budget of each service.
type budgets struct {
	registry *bfmetric.Registry

	mu        sync.Mutex
	byService atomic.Pointer[map[string]*bfretry.FleetBudget]
}

func (b *budgets) of(service string) *bfretry.FleetBudget {
	if held := b.byService.Load(); held != nil {
		if budget := (*held)[service]; budget != nil {
			return budget
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := map[string]*bfretry.FleetBudget{}
	if held := b.byService.Load(); held != nil {
		maps.Copy(next, *held)
	}
	if next[service] == nil {
		budget := &bfretry.FleetBudget{}
		b.registry.Gauge("repeats_left_"+service, func() int64 { return int64(budget.Left()) })
		next[service] = budget
	}
	b.byService.Store(&next)
	return next[service]
}
