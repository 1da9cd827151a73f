// Package bfview holds one node's view of the fleet and merges into it what others tell.
//
// Table keeps the latest row of each member and a grave for each that was
// dropped as dead. Its digests, in buckets of cells, let two nodes find the few
// rows in which their views differ. It is for one goroutine at a time.
package bfview
