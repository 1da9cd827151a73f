// Package bfrecord implements at-most-once execution of requests and determines
// the outcome that is reported to the caller.
//
// The home of a request is the node that forwards it to its target. Its Tracker
// deduplicates arrivals by request ID, and a request runs only if Tracker.Begin
// returns Run. The entry node, which received the request from the caller, holds an Attempt for each request that it sent; it derives an
// Outcome from the messages received, and NotRun requires a Proof.
//
// Both are free of I/O and clocks: they take the time and a message and return
// the decision.
package bfrecord
