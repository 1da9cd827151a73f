// Package bfrecord decides, at the node beside the target and at the entry
// node, that a request runs at most once and that its caller is told the truth.
//
// The home of a request is the node beside its target. Its Book holds a record
// for each request ID and is the only thing that may let a request run. The
// entry node holds an Attempt for each request it sent; it turns what it hears
// into an Outcome, and can form NotRun only from a Proof.
//
// Both are pure: they take the time and a message and return what to do.
package bfrecord
