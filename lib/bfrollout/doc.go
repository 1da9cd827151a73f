// Package bfrollout decides how a service is moved to targets of another version: which requests
// the new version receives, whether it is bad, when its traffic is moved, and how the roll-out
// ends. It does no input or output.
//
// Until a version is found good, it receives a small share of the service's requests. Each entry
// keeps that share of its own requests (Allotment), so that the bound holds for the fleet without
// any agreement. The entries count the outcomes of both versions over the same seconds (Tally) and
// send the counts to a few nodes, the judges, which compare the versions (Ledger). What they find
// is part of a Record, which all nodes merge and which never goes back: a version that one node
// has condemned stays condemned.
package bfrollout
