package bfmesh

// publishMetrics registers the gauges of the node's state and its age. The components
// register their own counters and histograms.
func (n *node) publishMetrics() {
	gauge := n.metrics.Gauge
	gauge("config_version_in_force", func() int64 { return int64(n.traffic.Version()) })
	gauge("config_since_ms", n.state.versionAdopted.AgeMs)
	gauge("members", func() int64 { return int64(n.fleet.Size()) })
	gauge("members_lost", func() int64 { return int64(n.fleet.Lost()) })
	gauge("members_revision", func() int64 { return int64(n.state.Revision()) })
	gauge("members_since_ms", n.state.membersUpdated.AgeMs)
	gauge("link_reserved_ms", func() int64 { return n.pacer.Reserved().Milliseconds() })
	gauge("link_refused", n.pacer.Refused)
	gauge("departures_unrecorded", func() int64 { return boolToInt(!n.departures.InSync()) })
	gauge("store_followed", func() int64 { return boolToInt(n.follows()) })
	gauge("current", func() int64 { return boolToInt(n.current()) })
	gauge("slots", func() int64 { _, slots := n.host.Load(); return int64(slots) })
	gauge("slots_used_or_waited_for", func() int64 { used, _ := n.host.Load(); return int64(used) })
	gauge("target_requests", n.host.Sends)
	gauge("target_connections", n.targets.Opened)
	gauge("target_connections_open", n.targets.Open)
	gauge("node_connections_open", n.nodes.Open)
	gauge("target_answers_discarded", n.targets.Discarded)
	gauge("target_connections_for_repeats", n.targets.Avoided)
	gauge("target_transfers_ended", n.host.TransfersEnded)
	n.budget.Publish(n.metrics)
	gauge("requests_active", n.entry.Active)
	gauge("link_backlog_ms", func() int64 { return n.pacer.Backlog().Milliseconds() })
	gauge("quarantine_contents", func() int64 { return int64(n.quarantine.View().Len()) })
	gauge("quarantine_holds", func() int64 { return boolToInt(n.quarantine.View().HasHeld()) })
	gauge("control_unsent_bytes", func() int64 { return int64(n.calls.Unsent()) })
	gauge("log_lines_dropped", n.logger.Dropped)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
