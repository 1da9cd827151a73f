// Package bfplan decides what edits mean for objects: which operations they
// become on a state, and which fields tell two objects apart.
package bfplan
