package bfcontrol

import (
	"errors"
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bfstore"
)

// headSearch paces the reads of the table's head by a node that starts.
//
// Half a failure domain that restarts while the table is away would read it
// twice a second each, and hold it down with a thousand reads a second when it
// comes back. So the waits between failed reads grow, with jitter, and no read
// begins while one is out.
type headSearch struct {
	known, reading bool
	at             time.Time
	wait           time.Duration
}

const (
	firstHeadWait = 500 * time.Millisecond
	maxHeadWait   = 8 * time.Second
)

func (h *headSearch) due(now time.Time) bool {
	return !h.known && !h.reading && !now.Before(h.at)
}

// ended takes the answer to a read.
func (h *headSearch) ended(now time.Time, err error, rng *rand.Rand) {
	h.reading, h.known = false, err == nil
	h.wait = min(max(2*h.wait, firstHeadWait), maxHeadWait)
	var away *bfstore.UnavailableError
	if errors.As(err, &away) {
		h.wait = max(h.wait, min(away.RetryAfter, maxHeadWait))
	}
	h.at = now.Add(h.wait/2 + time.Duration(rng.Int64N(int64(h.wait))))
}

// readHead reads the head for the start, and for whoever else wants it.
func (f *force) readHead() {
	f.head.reading = true
	f.control.readHead()
}
