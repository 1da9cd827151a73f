// Package bfannounce is what a target and the node beside it tell each other:
// the target announces itself and repeats that as its heartbeat, and the node
// answers how much of the target's work is still in flight.
package bfannounce
