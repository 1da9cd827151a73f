// Package bfbatch batches the writes of table rows across nodes. A node sends its
// write to another node, which combines the writes that arrive within a short
// window into one call.
//
// Batching is optional: if it fails for any reason, a node writes its row itself.
// All writes are conditional, so a repeated or late one has no effect.
package bfbatch
