// Package bfclaim decides who may run a request that carries its caller's
// idempotency key, by a row of the platform's table.
//
// The node beside the target claims the key before it runs the request and
// records the outcome after. Claim, Settlement and Group are pure: they are fed
// events and return the next action, and the caller does the input and output.
//
// A running row is never taken over because of its age: a paused holder could
// wake and run. It is taken over only once its home has said that the request
// never ran and is barred, and then by a transaction on the revision read.
package bfclaim
