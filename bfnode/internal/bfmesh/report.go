package bfmesh

import (
	"log/slog"

	"bilberryflow.org/lib/bflog"
)

// logRefusedReport logs a report that is not a valid report of a target.
func (n *node) logRefusedReport(incarnation string, err error) {
	n.logger.Emit(bflog.ReportRefused, slog.String("incarnation", incarnation), bflog.Err(err))
}
