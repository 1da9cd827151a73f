// Package bffleet starts and stops the system's programs as processes on
// loopback, for the demo, the measurements and the end-to-end tests. It signals
// only processes that it started, by process ID.
package bffleet
