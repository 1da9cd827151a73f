// Package bfslot admits requests to the slots of one target.
//
// A target works on a fixed number of requests at once and is slower for all of
// them beyond it, so the gate never lets more through. Calls that targets make
// while they run another request go first: refusing one wastes the slot that its
// parent holds elsewhere. Queue decides and knows no clock and no goroutine; Gate
// waits by its word.
package bfslot
