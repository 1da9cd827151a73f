// Package bfpresence keeps this node's row in the table of members true: the row
// is there while the node's target takes work.
package bfpresence
