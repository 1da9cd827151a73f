// Package bfannounce implements the protocol between a target and the node beside it: the
// target announces itself periodically as its heartbeat, and the node answers with the number
// of the target's requests in flight.
package bfannounce
