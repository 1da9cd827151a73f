// Package bfhedge decides when an entry sends a second copy of a slow request to another target.
//
// It answers the load in which most requests of a route are served in time and a few are slow for a
// reason that lies with their target: a pause, noise of a neighbour, a queue. A copy does not help
// where the length is the request's own, nor where targets are short of room, and it always costs
// work. So copies are bounded by a share of the requests, are sent only after the time that most
// requests of the route take, and become rare for a service at which they seldom win.
//
// The package does no I/O: callers pass in what they observe.
package bfhedge
