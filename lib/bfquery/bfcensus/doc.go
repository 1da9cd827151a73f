// Package bfcensus aggregates the configuration versions in force on a set of
// nodes and decides whether a version is in force everywhere.
//
// A consistent snapshot of 25,000 nodes is not available: some are unreachable,
// and some have not joined the membership yet. The results are therefore lower
// bounds: a node that did not respond never counts as up to date.
package bfcensus
