package bfmesh

import (
	"sync/atomic"
	"time"
)

// publish shows what the node believes and how old that is, beside the counters
// and histograms that the parts keep themselves.
func (n *node) publish() {
	gauge := n.metrics.Gauge
	gauge("config_version_in_force", func() int64 { return int64(n.traffic.Version()) })
	gauge("config_since_ms", ageMs(&n.state.adopted))
	gauge("members", func() int64 { return int64(n.fleet.Size()) })
	gauge("members_lost", func() int64 { return int64(n.fleet.Lost()) })
	gauge("members_revision", func() int64 { return int64(n.state.Revision()) })
	gauge("members_since_ms", ageMs(&n.state.listed))
	gauge("store_followed", func() int64 { return truth(n.follows()) })
	gauge("current", func() int64 { return truth(n.current()) })
	gauge("slots", func() int64 { _, slots := n.host.Load(); return int64(slots) })
	gauge("slots_used_or_waited_for", func() int64 { used, _ := n.host.Load(); return int64(used) })
	gauge("requests_active", n.entry.Active)
	gauge("link_backlog_ms", func() int64 { return n.pacer.Backlog().Milliseconds() })
	gauge("quarantine_contents", func() int64 { return int64(n.book.View().Len()) })
	gauge("quarantine_holds", func() int64 { return truth(n.book.View().HasHeld()) })
	gauge("log_lines_dropped", n.logger.Dropped)
	n.metrics.Publish("node")
}

// moment is when something was last done. It keeps the monotonic reading: the time
// of day may jump.
type moment struct{ at atomic.Pointer[time.Time] }

func (m *moment) mark() {
	now := time.Now()
	m.at.Store(&now)
}

// ageMs gives the milliseconds since a moment, -1 where there was none.
func ageMs(m *moment) func() int64 {
	return func() int64 {
		at := m.at.Load()
		if at == nil {
			return -1
		}
		return time.Since(*at).Milliseconds()
	}
}

func truth(is bool) int64 {
	if is {
		return 1
	}
	return 0
}
