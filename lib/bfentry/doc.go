// Package bfentry serves callers: it matches a request to a route, sends it to
// the nodes beside targets of the route's service until one accepts it, and
// returns the target's answer or a refusal that states whether the request ran.
//
// A request that a node refused has not run and is sent to the next node without
// using retry budget.
// A request that a target shed has not run either, and a request without an answer
// may have run. Both are retried only within the fleet's retry budget, the latter
// only if the route allows repeats.
package bfentry
