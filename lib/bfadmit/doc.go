// Package bfadmit decides which requests a target runs, in which order, and
// which are refused.
//
// All traffic to a target passes its node, so the Gate knows exactly how many
// of the target's slots are in use. It starts the class of the highest priority
// first, yet each class that waits gets one start in minShareEvery; inside a
// class it serves the tenant with the fewest slots. A request waits only if it
// is expected to finish before its deadline: what can't is refused at once as
// not run, with a time to come back, and so is a waiter as soon as that becomes
// known of it.
//
// The Gate is pure: it is given the time and does one thing after another. The
// Limiter puts a lock, channels and a timer around it.
package bfadmit
