// Package bfcaller is the entry for callers: it takes a request at any node,
// decides its route, policy and target on one immutable view, sends it to the
// target's node, finds out what became of it where the answer is lost, and
// gives the caller one truthful answer.
//
// Entry is the core; Handler puts HTTP around it.
package bfcaller
