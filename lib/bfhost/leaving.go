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

// WriteLimit writes the target's limit to a header between nodes. In an answer it is what the target's
// node keeps, in a request what the entry knows.
func WriteLimit(h http.Header, known bflimit.Known) {
	if perSecond, named := known.Limit.(bflimit.PerSecond); named {
		h[bfheader.TargetLimit] = []string{strconv.FormatFloat(float64(perSecond), 'f', -1, 64) + " " + encodeStart(known.Start)}
	}
}

// ReadLimit parses what WriteLimit wrote; the zero value is no limit.
func ReadLimit(h http.Header) bflimit.Known {
	before, after, _ := strings.Cut(h.Get(bfheader.TargetLimit), " ")
	start := decodeStart(after)
	limit, err := bflimit.Parse([]string{before})
	if err != nil || start.Incarnation == "" {
		return bflimit.Known{}
	}
	return bflimit.Known{Start: start, Limit: limit}
}

// WriteLeaving writes to the header of an answer between nodes which start of the target says in it
// that it leaves; the zero value is none. The entry may know another start at that node.
func WriteLeaving(h http.Header, leaving bflimit.Start) {
	if leaving.Incarnation != "" {
		h[bfheader.TargetLeaving] = []string{encodeStart(leaving)}
	}
}

// ReadLeaving parses what WriteLeaving wrote; the zero value is none.
func ReadLeaving(h http.Header) bflimit.Start { return decodeStart(h.Get(bfheader.TargetLeaving)) }

// encodeStart returns the text of a start: its time in Unix milliseconds, 0 for none, and its name.
func encodeStart(start bflimit.Start) string {
	milli := int64(0)
	if !start.Started.IsZero() {
		milli = start.Started.UnixMilli()
	}
	return strconv.FormatInt(milli, 10) + " " + start.Incarnation
}

// decodeStart parses what encodeStart wrote, the zero value if it is malformed.
func decodeStart(text string) bflimit.Start {
	before, incarnation, _ := strings.Cut(text, " ")
	milli, err := strconv.ParseInt(before, 10, 64)
	switch {
	case err != nil || incarnation == "":
		return bflimit.Start{}
	case milli == 0:
		return bflimit.Start{Incarnation: incarnation}
	}
	return bflimit.Start{Incarnation: incarnation, Started: time.UnixMilli(milli)}
}
