// Package bfsimtarget is a target of the soak: it runs requests, reports to its node and misbehaves as it
// is told.
package bfsimtarget
