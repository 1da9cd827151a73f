//go:build !linux

package bfboot

import "time"

// Now returns the time since the process started, without the time during which the machine was
// suspended.
func Now() time.Duration { return monotonic() }
