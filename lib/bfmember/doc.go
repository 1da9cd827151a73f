// Package bfmember maintains the membership of the fleet: which instances are
// members, and the state of each.
//
// Members is a deterministic state machine: its methods take the time and an
// event and return the actions to carry out. It detects failures by random
// probes with suspicion and refutation (SWIM), piggybacks updates on the probes,
// and repairs lost updates by anti-entropy with a random peer. A node without
// a peer finds one through the meeting rows, a few rows of the platform's table that
// each list a running node. Package bfroster
// defines the rows and the Order that other packages read, bfview the merged
// view, and bfgossip the messages. Members isn't safe for concurrent use; an
// Order is.
package bfmember
