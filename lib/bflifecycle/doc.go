// Package bflifecycle derives a node's view of its target from the target's heartbeats and departures:
// which start is running and whether it accepts requests. Messages can be delayed for seconds, and
// starts succeed each other at one address.
package bflifecycle
