// Package bfmember decides who is a member of the fleet and in which state.
//
// Members is the core: it takes the time and a message and returns what to do.
// It finds failures by random probes with suspicion and refutation (SWIM),
// tells changes on the probes themselves, and repairs what was lost by
// comparing digests with a random peer. The rows and the Order that other parts
// read are of package bfroster, the merging view of bfview, the messages of
// bfgossip. The core is for one goroutine at a time; an Order is for any.
package bfmember
