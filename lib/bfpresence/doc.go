// Package bfpresence reconciles this node's row in the members table with the state of its
// target: the row exists while the target accepts work.
package bfpresence
