package bfnews

import (
	"slices"

	"bilberryflow.org/lib/bffleet"
)

// Relays returns the relays of all domains. Nodes with the same member list return the same ones in
// the same order.
func (e *Exchange) Relays() []bffleet.Member { return slices.Clone(e.plan().relays) }
