// Package bfquarantine detects requests that crash targets ("queries of death") and
// decides which are no longer run. For each such request it records which target
// incarnations crashed while they ran it, and derives a verdict. Merging the state of
// other nodes is commutative and idempotent. The package does no I/O and uses no clock.
//
// A request is identified by its Key and not by its ID, since each attempt, also from
// other nodes, has an ID of its own.
package bfquarantine
