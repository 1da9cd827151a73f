package bfrunlog

import (
	"maps"
	"sync"
	"time"
)

// Crash is one run of a request that crashed its target.
type Crash struct {
	Began, Ended time.Time
	// Periods are the faults of the target's node.
	Periods *FaultPeriods
}

// Crashes records the crashes by the content of their requests. The zero value is empty; it is safe for
// concurrent use.
type Crashes struct {
	mu        sync.Mutex
	byContent map[string][]Crash
}

// Add records a crash.
func (c *Crashes) Add(content string, crash Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byContent == nil {
		c.byContent = map[string][]Crash{}
	}
	c.byContent[content] = append(c.byContent[content], crash)
}

// All returns the crashes so far by content, oldest first.
func (c *Crashes) All() map[string][]Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byContent)
}

// LateCrashes counts the crashes of runs that began after a time at nodes that had no fault in the
// calm before.
func LateCrashes(crashes []Crash, after time.Time, calm time.Duration) (late int) {
	for _, crash := range crashes {
		if crash.Began.After(after) && !crash.Periods.Any(crash.Began.Add(-calm), crash.Began) {
			late++
		}
	}
	return late
}
