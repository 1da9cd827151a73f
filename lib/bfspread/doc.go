// Package bfspread distributes versions of the configuration to every node.
//
// Spreader is a deterministic state machine: its methods take the time and an
// event and return the actions to carry out. The node that has a new version
// first pushes it to the whole Order of members: it splits the order into parts
// and sends the version to one relay of each, which splits its part in turn.
// Every node can be a relay, and the tree is built anew for each push. Lost
// pushes are detected by the heads that are piggybacked on other messages, and
// the missing versions are pulled. A node applies versions atomically and in
// order. Package bfspan splits the spans, and package bfcount runs the censuses.
package bfspread
