// Package bfwalk decides how long a request goes from one full target to the next in
// search of a free slot, how long it queues at one, and when a refused caller should
// retry. It uses no clock and does no I/O: callers pass in what they observe.
package bfwalk
