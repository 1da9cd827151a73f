package bfcensus

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// Step is the result of one poll of a watch.
type Step struct {
	Progress bfresult.Progress
	// Outcome is nil while the watch continues.
	Outcome *bfresult.Outcome
	// Remaining is the time until the watch ends; it may be negative.
	Remaining time.Duration
}

// Watch evaluates one census of a watch that started elapsed ago and lasts duration.
//
// An unreachable node may still serve requests with an old version, so it counts
// as outdated until the membership removes it as dead.
func Watch(census Census, version bfconfig.Version, elapsed, duration time.Duration) Step {
	reached, unreachable, held := census.reached(), census.unreachable(), census.inForce(version)
	s := Step{Remaining: duration - elapsed}
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
	case s.Remaining <= 0:
		s.Outcome = &bfresult.Outcome{
			Status: bfresult.StatusUnknown, Version: uint64(version),
			Summary: fmt.Sprintf("version %d is in force on %d of %s after %s%s", version, held,
				nodeCount(s.Progress.Nodes), bfresult.FormatDuration(s.Progress.Elapsed), census.missingNodes()),
		}
	}
	return s
}
