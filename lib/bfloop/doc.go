// Package bfloop runs the state machines of a component on one goroutine: functions are posted
// to it through a bounded queue, and a timer wakes it when a tick is due.
package bfloop
