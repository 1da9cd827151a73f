// Package bfcommit decides how a change becomes a version: staging, rebasing,
// conflicts, the one transaction that commits, and lost answers to it.
//
// Versions are one total order kept in the platform's table. An Attempt is one
// confirm as a pure step machine: it takes what happened and says what to do.
// Run is the only part that talks to a table.
//
// The rows:
//
//	head              version and digest of the newest version
//	version/<number>  the delta to that version
//	change/<id>       what became of a change, for good
//	staged/<id>       a change that waits for its confirm
package bfcommit
