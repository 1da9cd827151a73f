package bfresource

import (
	"log/slog"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bftimer"
)

// Publish registers the budget's counters.
func (b *Budget) Publish(metrics *bfmetric.Registry) {
	if b == nil {
		return
	}
	for name, value := range map[string]func(Counts) int64{
		"client_memory_bytes":       func(c Counts) int64 { return c.Memory },
		"client_memory_limit_bytes": func(c Counts) int64 { return c.MemoryLimit },
		"client_connections":        func(c Counts) int64 { return c.Connections },
		"client_idle_closed":        func(c Counts) int64 { return c.IdleClosed },
		"client_slow_closed":        func(c Counts) int64 { return c.SlowClosed },
		"client_refused":            func(c Counts) int64 { return c.Refused },
		"client_requests_evicted":   func(c Counts) int64 { return c.RequestsEvicted },
		"client_requests_refused":   func(c Counts) int64 { return c.RequestsRefused },
	} {
		metrics.Gauge(name, func() int64 { return value(b.Counts()) })
	}
}

// reportInterval is how often what was refused is logged.
const reportInterval = time.Second

// Watch logs what was closed and refused for lack of memory or connections.
func (b *Budget) Watch(timer *bftimer.Service, logger *bflog.Logger) {
	if b == nil {
		return
	}
	var logged Counts
	timer.Every(func() time.Duration { return reportInterval }, func(time.Time) {
		counts := b.Counts()
		recent := counts.since(logged)
		logged = counts
		if recent.sum() == 0 {
			return
		}
		logger.Emit(bflog.ClientsRefused,
			slog.Int64("idle_closed", recent.IdleClosed), slog.Int64("slow_closed", recent.SlowClosed), slog.Int64("connections_refused", recent.Refused),
			slog.Int64("requests_evicted", recent.RequestsEvicted), slog.Int64("requests_refused", recent.RequestsRefused),
			slog.Int64("connections", counts.Connections), slog.Int64("memory", counts.Memory), slog.Int64("memory_limit", counts.MemoryLimit))
	})
}

// since returns what was refused after earlier counts.
func (c Counts) since(earlier Counts) Counts {
	return Counts{
		IdleClosed: c.IdleClosed - earlier.IdleClosed, SlowClosed: c.SlowClosed - earlier.SlowClosed, Refused: c.Refused - earlier.Refused,
		RequestsEvicted: c.RequestsEvicted - earlier.RequestsEvicted, RequestsRefused: c.RequestsRefused - earlier.RequestsRefused,
	}
}

func (c Counts) sum() int64 {
	return c.IdleClosed + c.SlowClosed + c.Refused + c.RequestsEvicted + c.RequestsRefused
}
