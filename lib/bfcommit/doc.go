// Package bfcommit commits changes of the configuration as versions: it stages and
// rebases changes, detects conflicts, runs the commit transaction, and determines
// its outcome if the answer is lost.
//
// Versions are totally ordered and stored in the platform's table. An Attempt is
// one confirmation or withdrawal as a deterministic state machine: it takes an event
// and returns the next action. Run carries the actions out on a table.
//
// The rows:
//
//	head              version and digest of the newest version
//	version/<number>  the delta to that version
//	change/<id>       the final decision on a change
//	staged/<id>       a change that has not been confirmed yet
package bfcommit
