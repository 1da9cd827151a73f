package bfquarantine

import "time"

// Verdict is the sealed set of what may be done with a request: Free, Apart and Held.
type Verdict interface{ verdict() }

// Free requests run as any other.
type Free struct{}

// Apart requests run with no other such request at one target, so that its end, if it
// comes, speaks against one of them only.
type Apart struct{}

// Held requests are not run.
type Held struct{ until time.Time }

// Until is when the request may be tried again.
func (h Held) Until() time.Time { return h.until }

func (Free) verdict()  {}
func (Apart) verdict() {}
func (Held) verdict()  {}

const (
	// crashLimit is how many targets end under a request before it is held.
	crashLimit = 3
	// firstHold is how long it is held then; each further end doubles it up to longestHold.
	firstHold   = 5 * time.Minute
	longestHold = time.Hour
	// retention is how long what speaks against a request is kept beyond that.
	retention = 10 * time.Minute
	// longestStretch is how much longer than others a node may hold a request.
	longestStretch = 2
)

// hold is how long a request is held after the last of so many ends of targets.
func hold(crashes int) time.Duration {
	if crashes < crashLimit {
		return 0
	}
	length := firstHold
	for range crashes - crashLimit {
		length = min(2*length, longestHold)
	}
	return length
}

// judge is the verdict on a request under which so many targets ended.
func judge(crashes int, last, now time.Time, stretch float64) Verdict {
	if crashes < crashLimit-1 {
		return Free{}
	}
	until := last.Add(time.Duration(stretch * float64(hold(crashes))))
	if crashes >= crashLimit && now.Before(until) {
		return Held{until}
	}
	return Apart{}
}
