// Package bfbatch has nodes write their rows together. A node hands its write to another
// one, which gathers those that come within a short time and makes them in one call.
//
// Nobody depends on it: a write that the other node does not make, for whatever reason,
// the node makes itself. All writes have their conditions, so that one made twice, or
// late, changes nothing.
package bfbatch
