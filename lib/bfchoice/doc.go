// Package bfchoice picks the target for a request.
//
// The candidates are an immutable Set, swapped whole when the membership
// changes and read without a lock. What this node has seen of a target itself
// (requests in flight, the load its answers carry, failures) is kept in atomics
// that live on from one Set to the next. Pick is a pure function of the Set,
// the time and a random number.
//
// What was seen always goes before what the platform's health endpoint says:
// such a hint only breaks ties.
package bfchoice
