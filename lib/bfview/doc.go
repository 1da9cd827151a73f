// Package bfview holds one node's membership view and merges received rows into it.
//
// Table keeps the latest row of each member and a tombstone for each row dropped
// as dead. Its two-level digests (buckets of cells) let anti-entropy between two
// nodes find the few rows that differ. A Table is not safe for concurrent use.
package bfview
