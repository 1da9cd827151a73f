// Package bffleet holds one node's view of the other nodes: the service of the target
// at each, its load and its health. It chooses the target for each request.
//
// The membership is read from the platform's store and replaced atomically. Load and
// health are reported with the answers of each target's node. That node admits requests
// on its own, so stale data here can cause a refusal but never an incorrect run.
package bffleet
