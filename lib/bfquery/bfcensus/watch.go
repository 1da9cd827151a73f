package bfcensus

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// Step is one look of a watch.
type Step struct {
	Progress bfresult.Progress
	// Outcome is nil while the watch goes on.
	Outcome *bfresult.Outcome
	// Left is how much of the watch's time is left.
	Left time.Duration
}

// Watch decides by a census whether the version is in force everywhere.
//
// A node out of reach may serve callers by an old version, so it counts as one
// that does not have the version until membership drops it as dead.
func Watch(census Census, version bfconfig.Version, elapsed, length time.Duration) Step {
	reached, unreachable, held := census.reached(), census.unreachable(), census.inForce(version)
	s := Step{Left: length - elapsed}
	s.Progress = bfresult.Progress{
		Version: uint64(version), Elapsed: elapsed.Truncate(time.Millisecond), Held: held,
		Nodes: reached + unreachable, Unreachable: unreachable, Oldest: uint64(census.oldest()),
	}
	everywhere := reached > 0 && held == reached && unreachable == 0 && !census.Partial
	switch {
	case everywhere:
		s.Outcome = &bfresult.Outcome{
			Status: bfresult.StatusDone, Version: uint64(version),
			Summary: fmt.Sprintf("version %d is in force on every node, %d of %d", version, held, reached),
		}
	case s.Left <= 0:
		s.Outcome = &bfresult.Outcome{
			Status: bfresult.StatusUnknown, Version: uint64(version),
			Summary: fmt.Sprintf("version %d is in force on %d of %s after %s%s", version, held,
				nodes(s.Progress.Nodes), bfresult.FormatDuration(s.Progress.Elapsed), census.gap()),
		}
	}
	return s
}
