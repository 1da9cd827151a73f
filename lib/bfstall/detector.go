package bfstall

import (
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bftimer"
)

const (
	// checkInterval is the time between checks.
	checkInterval = 250 * time.Millisecond
	// minDelay is the delay of a check from which it is logged.
	minDelay = 750 * time.Millisecond
)

// Sample is a reading of the process's clocks.
type Sample struct {
	// Steady is the time since the start by the monotonic clock, which on some platforms stops while
	// the machine is suspended; Wall is the time of day.
	Steady time.Duration
	Wall   time.Time
	// Processor is the processor time used since the start.
	Processor time.Duration
}

// Stall is a span in which the process did not run on time.
type Stall struct {
	// Steady, Wall and Processor are the differences of the clocks over the span.
	Steady, Wall, Processor time.Duration
}

// Between returns the stall between two consecutive checks; ok is false if the later one was not
// delayed by either clock. A time of day that was set back is no stall.
func Between(earlier, later Sample) (stall Stall, ok bool) {
	stall = Stall{
		Steady:    later.Steady - earlier.Steady,
		Wall:      later.Wall.Round(0).Sub(earlier.Wall.Round(0)),
		Processor: later.Processor - earlier.Processor,
	}
	return stall, max(stall.Steady, stall.Wall) >= checkInterval+minDelay
}

// Detector checks periodically whether the process runs on time.
type Detector struct {
	logger  *bflog.Logger
	started time.Time
	last    Sample
	stalls  atomic.Int64
}

// Watch starts a detector on the timer's goroutine.
func Watch(timer *bftimer.Service, logger *bflog.Logger) *Detector {
	d := &Detector{logger: logger, started: time.Now()}
	d.last = d.read(time.Now())
	timer.Every(func() time.Duration { return checkInterval }, d.check)
	return d
}

// Stalls returns the number of stalls since the start.
func (d *Detector) Stalls() int64 { return d.stalls.Load() }

func (d *Detector) read(now time.Time) Sample {
	return Sample{Steady: now.Sub(d.started), Wall: now, Processor: processorTime()}
}

func (d *Detector) check(now time.Time) {
	current := d.read(now)
	stall, found := Between(d.last, current)
	d.last = current
	if !found {
		return
	}
	d.stalls.Add(1)
	d.logger.Emit(bflog.ProcessStalled, slog.Duration("steady", stall.Steady), slog.Duration("wall", stall.Wall), slog.Duration("processor", stall.Processor))
}

// processorTime returns the processor time that the process has used, 0 if it is unknown.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
