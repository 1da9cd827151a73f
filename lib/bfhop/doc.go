// Package bfhop is what goes with a request from the entry node to the target's
// node and back, written as HTTP headers.
package bfhop
