package bfmesh

import (
	"log/slog"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
)

// loggedRuns bounds the requests that a line names.
const loggedRuns = 16

// targetCrashed tells of a target that ended, and of what it ran.
func (n *node) targetCrashed(crash bfhost.Crash) {
	runs := make([]string, 0, loggedRuns)
	for _, run := range crash.Runs[:min(len(crash.Runs), loggedRuns)] {
		runs = append(runs, run.ID+" "+run.Key.Content.String()+" "+run.Ran.String())
	}
	n.metrics.Counter("target_crashes").Add(1)
	n.logger.Emit(bflog.TargetCrashed, slog.String("incarnation", crash.Target.Incarnation()),
		slog.String("address", crash.Target.Address()), slog.Int("running", len(crash.Runs)), slog.Any("runs", runs))
}

// reportRefused tells of a report that no target sent.
func (n *node) reportRefused(incarnation string, err error) {
	n.logger.Emit(bflog.ReportRefused, slog.String("incarnation", incarnation), bflog.Err(err))
}
