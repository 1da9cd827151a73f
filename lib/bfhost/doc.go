// Package bfhost manages the target on the node's own machine: it tracks the
// target's incarnation and state, admits requests to its slots, sends each request
// once and reads the answer.
//
// A target is reachable only through its own node, so the node's decisions on
// slots, draining and incarnations are authoritative, whatever state other nodes
// have gossiped.
package bfhost
