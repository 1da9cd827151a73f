// Package bfplan converts edits into operations on a configuration state and
// computes the field differences between two objects.
package bfplan
