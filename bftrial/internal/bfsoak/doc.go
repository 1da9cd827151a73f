// Package bfsoak runs real nodes and the stand-in platform as processes on
// loopback, injects faults from outside them in an order drawn from a seed, and
// checks what callers and targets see against the promises.
package bfsoak
