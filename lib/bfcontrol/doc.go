// Package bfcontrol runs a node's part of the control plane. On one goroutine, the
// loop, it passes messages, timer ticks and the platform's replies to the
// membership, spreading and recovery cores, and executes their actions.
//
// The request path does not use that goroutine: it reads the view and the
// directory, which the loop replaces atomically.
package bfcontrol
