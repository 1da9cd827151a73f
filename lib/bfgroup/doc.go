// Package bfgroup starts every goroutine of the system, so that each one has a
// name, is waited for at the stop, and ends the process's work when it fails.
package bfgroup
