package bflimit

import (
	"strconv"
	"strings"
	"time"
)

// Start identifies one start of a target, whose limit ends with it.
type Start struct {
	// Incarnation is the name that the target chose.
	Incarnation string
	// Started is the target's start time by its own clock, zero if not reported.
	Started time.Time
}

// Equal reports whether both are the same start.
func (s Start) Equal(other Start) bool {
	return s.Incarnation == other.Incarnation && s.Started.Equal(other.Started)
}

// Encode returns the start as text: its time in Unix milliseconds, 0 for none, and its name.
func (s Start) Encode() string {
	milli := int64(0)
	if !s.Started.IsZero() {
		milli = s.Started.UnixMilli()
	}
	return strconv.FormatInt(milli, 10) + " " + s.Incarnation
}

// DecodeStart parses what Encode returned, the zero value if it is malformed.
func DecodeStart(text string) Start {
	before, incarnation, _ := strings.Cut(text, " ")
	milli, err := strconv.ParseInt(before, 10, 64)
	switch {
	case err != nil || incarnation == "":
		return Start{}
	case milli == 0:
		return Start{Incarnation: incarnation}
	}
	return Start{Incarnation: incarnation, Started: time.UnixMilli(milli)}
}
