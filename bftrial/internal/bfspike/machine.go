package bfspike

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"
)

// cpuMonitor samples the CPU utilization of the whole machine, including unrelated processes.
type cpuMonitor struct{ shares [phases]float64 }

func newCPUMonitor() *cpuMonitor { return &cpuMonitor{} }

// watch returns a function that measures the utilization in each phase.
func (m *cpuMonitor) watch(start time.Time, t timetable) func(context.Context) error {
	return func(ctx context.Context) error {
		var last ticks
		for p := settle; p <= phases; p++ {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(time.Until(start.Add(t.begin(p)))):
			}
			now, err := readTicks()
			if err != nil {
				return err
			}
			if p > settle {
				m.shares[p-1] = now.busySince(last)
			}
			last = now
		}
		return nil
	}
}

// utilization returns the CPU utilization in each phase. Call it only after watch's function has returned.
func (m *cpuMonitor) utilization() [phases]float64 { return m.shares }

// ticks holds the cumulative CPU times since boot, in clock ticks.
type ticks struct{ idle, total int64 }

func (t ticks) busySince(before ticks) float64 {
	total := t.total - before.total
	if total <= 0 {
		return 0
	}
	return 1 - float64(t.idle-before.idle)/float64(total)
}

func readTicks() (ticks, error) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return ticks{}, err
	}
	return parseTicks(string(data))
}

// parseTicks reads the first line of /proc/stat: user, nice, system, idle, iowait, irq, softirq, steal.
func parseTicks(text string) (ticks, error) {
	const idleField, waitField, counted = 3, 4, 8
	line, _, _ := strings.Cut(text, "\n")
	fields := strings.Fields(line)
	if len(fields) <= counted || fields[0] != "cpu" {
		return ticks{}, fmt.Errorf("/proc/stat: unexpected line %q", line)
	}
	var t ticks
	for i, field := range fields[1 : 1+counted] {
		var n int64
		if _, err := fmt.Sscan(field, &n); err != nil {
			return ticks{}, fmt.Errorf("/proc/stat: %w", err)
		}
		t.total += n
		if i == idleField || i == waitField {
			t.idle += n
		}
	}
	return t, nil
}
