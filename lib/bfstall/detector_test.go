package bfstall

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a suspension that goes unnoticed because the monotonic clock stood still, and
// against taking a time of day that was set back for one.
func TestStallByEitherClock(t *testing.T) {
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	for name, test := range map[string]struct {
		steady, wall time.Duration
		found        bool
	}{
		"on time":                     {checkInterval, checkInterval, false},
		"slightly late":               {checkInterval + minDelay/2, checkInterval + minDelay/2, false},
		"stopped":                     {17 * time.Second, 17 * time.Second, true},
		"machine suspended":           {checkInterval, 17 * time.Second, true},
		"time of day set back":        {checkInterval, -4 * time.Second, false},
		"stopped and clock set back":  {9 * time.Second, -4 * time.Second, true},
		"time of day set forward far": {checkInterval, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			earlier := Sample{Steady: time.Minute, Wall: noon, Processor: time.Second}
			later := Sample{Steady: time.Minute + test.steady, Wall: noon.Add(test.wall), Processor: 3 * time.Second}
			stall, found := Between(earlier, later)
			is.Equal(found, test.found)
			is.Equal(stall, Stall{Steady: test.steady, Wall: test.wall, Processor: 2 * time.Second})
		})
	}
}
