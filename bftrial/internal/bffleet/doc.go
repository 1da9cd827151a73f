// Package bffleet starts real processes of the system on loopback for the
// demo, the measurements and the tests from end to end, and ends each by its
// own process ID.
package bffleet
