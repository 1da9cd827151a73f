// Package bfcensus holds what a part of the fleet answered when it was asked
// which versions are in force, and decides what may be claimed from it.
//
// Nobody learns the state of 25,000 nodes at one moment: some are out of reach,
// and some are not members yet. What is said here is never more than what was
// counted.
package bfcensus
