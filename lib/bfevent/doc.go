// Package bfevent determines which policy applies to a route at a given time, from the
// scheduled starts and ends of events, which are distributed to all nodes in advance.
//
// The clocks of two nodes differ by up to MaxClockError, so for that long around the start
// or end of an event two nodes apply different policies. A request must not be treated by
// both: the entry node decides, its Stamp travels with the request, and the target's node
// takes the treatment (idempotent or not, durable keys) from the Stamp alone. Its own
// schedule determines only the admission limits, which protect its target and don't change
// what the caller was promised.
package bfevent
