package bfmesh

import (
	"log/slog"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfquarantine"
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
	for _, key := range crash.Blamed {
		n.reportVerdict(key)
	}
}

// reportVerdict tells of a request that is run no more as any other.
func (n *node) reportVerdict(key bfquarantine.Key) {
	now := n.timer.Now()
	switch verdict := n.book.View().Judge(key, now).(type) {
	case bfquarantine.Held:
		n.metrics.Counter("requests_quarantined").Add(1)
		n.logger.Emit(bflog.RequestQuarantined, slog.String("content", key.Content.String()), slog.Duration("for", verdict.Until().Sub(now)))
	case bfquarantine.Apart:
		n.logger.Emit(bflog.RequestSuspected, slog.String("content", key.Content.String()))
	case bfquarantine.Free:
	}
}

// reportRefused tells of a report that no target sent.
func (n *node) reportRefused(incarnation string, err error) {
	n.logger.Emit(bflog.ReportRefused, slog.String("incarnation", incarnation), bflog.Err(err))
}
