package bfboot

import "time"

// started is when the process started.
var started = time.Now()

// monotonic returns the time since the process started by Go's monotonic clock.
func monotonic() time.Duration { return time.Since(started) }
