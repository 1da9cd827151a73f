package bfnews

import (
	"slices"
	"strings"

	"bilberryflow.org/lib/bffleet"
)

// MembersDelta is what leads from the members as of one revision to those as of a later one.
type MembersDelta struct {
	Base     uint64           `cbor:"1,keyasint"`
	Revision uint64           `cbor:"2,keyasint"`
	Changed  []bffleet.Member `cbor:"3,keyasint,omitempty"`
	Gone     []string         `cbor:"4,keyasint,omitempty"`
}

// Fits reports whether the delta leads on from what is known as of a revision. One within
// the delta does not: a row that came and went since the base is known there, and the
// delta does not say that it is gone.
func (d MembersDelta) Fits(revision uint64) bool { return d.Base == revision && revision < d.Revision }

// membersDelta makes the delta between two rosters. A row that was written again has
// another revision, so that it is told though it holds the same.
func membersDelta(from, to Roster) MembersDelta {
	d := MembersDelta{Base: from.Revision, Revision: to.Revision}
	left := make(map[string]bffleet.Member, len(from.Members))
	for _, m := range from.Members {
		left[m.Inbound] = m
	}
	for _, m := range to.Members {
		if left[m.Inbound] != m {
			d.Changed = append(d.Changed, m)
		}
		delete(left, m.Inbound)
	}
	for inbound := range left {
		d.Gone = append(d.Gone, inbound)
	}
	slices.SortFunc(d.Changed, func(a, b bffleet.Member) int { return strings.Compare(a.Inbound, b.Inbound) })
	slices.Sort(d.Gone)
	return d
}
