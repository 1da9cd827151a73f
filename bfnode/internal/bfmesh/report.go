package bfmesh

import (
	"log/slog"

	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bflog"
)

// targetCrashed tells of a target that ended, and of what it ran.
func (n *node) targetCrashed(crash bfflight.Crash) {
	n.metrics.Counter("target_crashes").Add(1)
	bfflight.Report(n.logger, crash, n.book.View(), n.timer.Now())
}

// reportRefused tells of a report that no target sent.
func (n *node) reportRefused(incarnation string, err error) {
	n.logger.Emit(bflog.ReportRefused, slog.String("incarnation", incarnation), bflog.Err(err))
}
