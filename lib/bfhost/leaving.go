package bfhost

import (
	"net/http"

	"bilberryflow.org/lib/bflimit"
)

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
	if b.current == nil || !b.current.acceptsWork || !b.current.Start().Equal(leaving) {
		return false
	}
	b.drain()
	return true
}
