// Package bffleet holds one node's view of the fleet's members: the service, load and
// health of each member's target. It chooses the target for each request.
//
// The membership is read from the platform's store and replaced atomically. Load and
// health are reported with the answers of each target's node. That node alone
// decides which requests run, so stale data here can cause a refusal but never an incorrect run.
package bffleet
