// Package bfevent says which policy a route is under at a moment, from the
// fixed starts and ends of events that were spread long before.
//
// The clocks of two nodes differ by up to MaxClockError, so for that long
// around an edge two nodes are under different policies. One request must not
// be: the entry node decides, its Stamp travels with the request, and the
// target's node takes the request's treatment (idempotent or not, durable keys)
// from the Stamp alone. Its own view gives only the limits of admission, which
// protect its own target and change nothing in what the caller was promised.
package bfevent
