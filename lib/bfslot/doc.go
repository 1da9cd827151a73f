// Package bfslot admits requests to the slots of one target.
//
// A target runs a fixed number of requests concurrently and slows down for all of
// them beyond that number, so the gate never exceeds it. Nested calls, which targets
// make while they run another request, go first: refusing one wastes the slot that
// its parent holds elsewhere. Queue makes the decisions and uses neither clock nor
// goroutines; Gate adds locking, waiting and timeouts.
package bfslot
