// Package bfcaller implements the entry node: the ingress that accepts callers'
// requests on any node of the mesh. It resolves route, policy and target from one
// immutable view, forwards the request to the target's node, queries that node for
// the outcome when the response is lost, and returns one accurate result.
//
// Entry is the core; Handler is its HTTP front end.
package bfcaller
