// Package bfquota limits the requests of workspaces over all nodes of a fleet.
//
// Every member is entitled to 1/N of each workspace's rate and burst, N being the size of the fleet.
// It delegates the entitlement to a few brokers for a short lease; a broker accrues the tokens of the
// workspaces that it serves in proportion to the live leases, and nodes take them in small lots. Each
// moment of an entitlement is spent by one party only, so the sum over all nodes is bounded without
// agreement about who is a member or a broker, and lost messages only lose tokens.
//
// The package does no I/O and reads no clock. Times are durations since an arbitrary moment of a
// clock of the node that also runs while the machine is suspended; the clocks of two nodes are not
// comparable. Its types are not safe for concurrent use. It is sized for 5,000 workspaces and 1,000
// nodes whose requests arrive at any of them.
package bfquota
