// Package bfchoice selects the target of a request.
//
// The candidates are an immutable Set that is replaced when the membership changes
// and read without a lock. A node's own observations of a target (requests in
// flight, the load reported with responses, failures) are kept in atomics that
// outlive a Set. Pick is a pure function of the Set, the time and a random number.
//
// Observations take precedence over the platform's health endpoint, whose hint only
// breaks ties.
package bfchoice
