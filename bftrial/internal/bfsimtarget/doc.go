// Package bfsimtarget is a target of the soak: it runs requests, reports to its node and injects the
// faults that are set on it.
package bfsimtarget
