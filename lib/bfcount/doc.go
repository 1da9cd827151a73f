// Package bfcount counts the members on which each version is in force.
//
// A Counter queries one relay for each part of a span, and each relay does the same in its
// turn; the tallies are summed on the way back. A part without a response in time is counted as
// unreachable by this node's own view of the members, so every member is accounted for.
package bfcount
