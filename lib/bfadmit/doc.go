// Package bfadmit decides which requests a target runs, in which order, and
// which are refused.
//
// All traffic to a target passes its node, so the Gate counts exactly how many
// of the target's slots are in use. It starts the class of the highest priority
// first, but each waiting class gets at least one start in minShareEvery. Within
// a class it serves the tenant with the fewest slots. A request is queued only if
// it is expected to finish before its deadline. Other requests are refused at once
// with a retry delay, and so is a queued request that can't meet its deadline any
// more.
//
// The Gate is single-threaded and deterministic: its methods take the time as an
// argument. The Limiter adds a lock, channels and a timer.
package bfadmit
