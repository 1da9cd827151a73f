// Package bfslot admits requests to the slots of one target.
//
// A target runs a fixed number of requests concurrently and slows down for all of
// them beyond that number, so the gate never exceeds it. Nested calls, which targets
// make while they run another request, go first: refusing one wastes the slot that
// its parent holds elsewhere. Between workspaces the order is by max-min fair share, then by rank,
// with a minimum share for each workspace and class (docs/design/fairness.md). Queue makes the
// decisions and uses neither clock nor goroutines; Gate adds locking, waiting and timeouts.
package bfslot
