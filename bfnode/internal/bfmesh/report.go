package bfmesh

import (
	"log/slog"

	"bilberryflow.org/lib/bflog"
)

// reportRefused tells of a report that no target sent.
func (n *node) reportRefused(incarnation string, err error) {
	n.logger.Emit(bflog.ReportRefused, slog.String("incarnation", incarnation), bflog.Err(err))
}
