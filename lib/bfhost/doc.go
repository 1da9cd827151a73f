// Package bfhost is the node's side towards the target beside it: it knows the
// target's incarnation and state, admits requests to its slots, hands each over
// once and reads the answer.
//
// A target is reached only through the node beside it. What that node decides on
// slots, draining and incarnations is therefore exact, whatever others believe.
package bfhost
