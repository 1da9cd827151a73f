package bfflight

import (
	"log/slog"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfquarantine"
)

// loggedRuns bounds the requests listed in one log line.
const loggedRuns = 16

// LogCrash logs a crash with the requests in flight, and each blamed request that is now
// quarantined or suspected.
func LogCrash(logger *bflog.Logger, crash Crash, view *bfquarantine.View, now time.Time) {
	runs := make([]string, 0, loggedRuns)
	for _, run := range crash.Runs[:min(len(crash.Runs), loggedRuns)] {
		runs = append(runs, run.ID+" "+run.Key.Content.String()+" "+run.Ran.String())
	}
	logger.Emit(bflog.TargetCrashed, slog.String("target", crash.Target.Name()),
		slog.Int("running", len(crash.Runs)+crash.Answered), slog.Int("answered_lately", crash.Answered), slog.Any("runs", runs))
	for _, key := range crash.Blamed {
		content := slog.String("content", key.Content.String())
		switch verdict := view.Judge(key, now).(type) {
		case bfquarantine.Held:
			logger.Emit(bflog.RequestQuarantined, content, slog.Duration("for", verdict.Until().Sub(now)))
		case bfquarantine.Isolated:
			logger.Emit(bflog.RequestSuspected, content)
		case bfquarantine.Free:
		}
	}
}
