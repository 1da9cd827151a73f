// Package bfspike measures the request policy at an event's start with real
// processes on loopback: open-loop callers at twenty times the usual rate,
// beside callers without any policy in the same run, with faults of one target.
package bfspike
