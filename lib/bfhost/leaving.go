package bfhost

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bflimit"
)

// Start identifies the target's start.
func (t *Target) Start() bflimit.Start {
	return bflimit.Start{Incarnation: t.Incarnation(), Started: t.Started()}
}

// leavingValue is the value of the header in the answers of a target that leaves.
const leavingValue = "1"

// saysLeaving reports whether an answer says that its target leaves.
func (h *Host) saysLeaving(header http.Header) bool {
	name := h.config.Names.Leaving
	return name != "" && header.Get(name) == leavingValue
}

// observeLeaving ends new requests for a target whose answer says that it leaves.
func (h *Host) observeLeaving(target *Target, header http.Header) {
	if h.saysLeaving(header) {
		h.change(func(b *targetTracker) bool { return b.applyLeaving(target.Start()) })
	}
}

// applyLeaving applies a start's statement that it leaves, and reports whether the view changed. Like a
// heartbeat that says draining, it holds until another start follows.
func (b *targetTracker) applyLeaving(leaving bflimit.Start) bool {
	if b.current == nil || !b.current.acceptsWork || b.current.Incarnation() != leaving.Incarnation || !b.current.Started().Equal(leaving.Started) {
		return false
	}
	b.drain()
	return true
}

// WriteLeaving writes to the header of an answer between nodes which start of the target says in it
// that it leaves; the zero value is none. The entry may know another start at that node.
func WriteLeaving(h http.Header, leaving bflimit.Start) {
	if leaving.Incarnation == "" {
		return
	}
	milli := int64(0)
	if !leaving.Started.IsZero() {
		milli = leaving.Started.UnixMilli()
	}
	h[bfheader.TargetLeaving] = []string{strconv.FormatInt(milli, 10) + " " + leaving.Incarnation}
}

// ReadLeaving parses what WriteLeaving wrote; the zero value is none.
func ReadLeaving(h http.Header) bflimit.Start {
	before, incarnation, _ := strings.Cut(h.Get(bfheader.TargetLeaving), " ")
	milli, err := strconv.ParseInt(before, 10, 64)
	switch {
	case err != nil || incarnation == "":
		return bflimit.Start{}
	case milli == 0:
		return bflimit.Start{Incarnation: incarnation}
	}
	return bflimit.Start{Incarnation: incarnation, Started: time.UnixMilli(milli)}
}
