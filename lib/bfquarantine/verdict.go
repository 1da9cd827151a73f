package bfquarantine

import "time"

// Verdict is how a request may run. It is a sealed interface, implemented by Free,
// Isolated and Held.
type Verdict interface{ verdict() }

// Free requests run without restrictions.
type Free struct{}

// Isolated requests don't run concurrently with another isolated request at the same target, so
// that a crash can be attributed to one of them.
type Isolated struct{}

// Held requests don't run.
type Held struct{ until time.Time }

// Until returns when the request may run again.
func (h Held) Until() time.Time { return h.until }

func (Free) verdict()     {}
func (Isolated) verdict() {}
func (Held) verdict()     {}

const (
	// crashLimit is the number of crashes after which a request is held.
	crashLimit = 3
	// minHold is how long it is held then; each further crash doubles it up to maxHold.
	minHold = 5 * time.Minute
	maxHold = time.Hour
	// retention is how long a record is kept after its longest hold.
	retention = 10 * time.Minute
	// maxStretch bounds the factor by which nodes lengthen a hold (see View.Judge).
	maxStretch = 2
)

// holdTime returns how long a request is held after the last of a number of crashes.
func holdTime(crashes int) time.Duration {
	if crashes < crashLimit {
		return 0
	}
	length := minHold
	for range crashes - crashLimit {
		length = min(2*length, maxHold)
	}
	return length
}

// judge returns the verdict on a request with a number of crashes, where stretch
// multiplies the time that it is held.
func judge(crashes int, last, now time.Time, stretch float64) Verdict {
	if crashes < crashLimit-1 {
		return Free{}
	}
	until := last.Add(time.Duration(stretch * float64(holdTime(crashes))))
	if crashes >= crashLimit && now.Before(until) {
		return Held{until}
	}
	return Isolated{}
}
