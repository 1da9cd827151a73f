package bfhost

import (
	"net/http"

	"bilberryflow.org/lib/bflifecycle"
)

// leavingValue is the value of the header in the answers of a target that leaves.
const leavingValue = "1"

// saysLeaving reports whether an answer says that its target leaves.
func (h *Host) saysLeaving(header http.Header) bool {
	name := h.config.Names.Leaving
	return name != "" && header.Get(name) == leavingValue
}

// observeLeaving ends new requests for a target whose answer says that it leaves.
func (h *Host) observeLeaving(target *bflifecycle.Target, header http.Header) {
	if h.saysLeaving(header) {
		h.change(func(tr *bflifecycle.Tracker) bool { return tr.ApplyLeaving(target.Start()) })
	}
}
