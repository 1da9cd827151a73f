package bfcontrol

import (
	"errors"
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bfstore"
)

// headReads schedules reads of the table's head until the start version is decided.
//
// It uses exponential backoff with jitter and one read at a time. Otherwise many
// nodes that restart during a table outage would overload the table on recovery: half of a failure
// domain of a thousand nodes, reading twice a second each, makes a thousand reads a second.
type headReads struct {
	// known is set if the last read succeeded; it ends the reads.
	known, inFlight bool
	nextRead        time.Time
	backoff         time.Duration
}

const (
	minHeadBackoff = 500 * time.Millisecond
	maxHeadBackoff = 8 * time.Second
)

func (h *headReads) due(now time.Time) bool {
	return !h.known && !h.inFlight && !now.Before(h.nextRead)
}

// finished records the result of a read and schedules the next one.
func (h *headReads) finished(now time.Time, err error, rng *rand.Rand) {
	h.inFlight, h.known = false, err == nil
	h.backoff = min(max(2*h.backoff, minHeadBackoff), maxHeadBackoff)
	var unavailable *bfstore.UnavailableError
	if errors.As(err, &unavailable) {
		h.backoff = max(h.backoff, min(unavailable.RetryAfter, maxHeadBackoff))
	}
	h.nextRead = now.Add(h.backoff/2 + time.Duration(rng.Int64N(int64(h.backoff))))
}

// readHead reads the head for the start decision and for the spreader.
func (act *activation) readHead() {
	act.headReads.inFlight = true
	act.control.readHead()
}
