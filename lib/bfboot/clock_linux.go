package bfboot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		// The kernel lacks the clock, which all kernels since 2.6.39 have.
		return monotonic()
	}
	return time.Duration(now.Nano())
}
