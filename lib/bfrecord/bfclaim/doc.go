// Package bfclaim makes requests with a caller's idempotency key run at most
// once, by conditional writes to a row of the platform's table.
//
// The node beside the target claims the key before it runs the request and
// records the outcome afterwards. Claim, Settlement and Batcher do no I/O: Claim
// and Settlement are state machines that take events and return the next action
// for the caller to perform.
//
// A running row never expires: its holder may only be paused, and could resume
// and run the request. Another request takes the row over only after the row's
// home has confirmed that its request never ran and is barred, by a transaction
// conditional on the revision read.
package bfclaim
