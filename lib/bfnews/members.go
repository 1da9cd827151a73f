package bfnews

import (
	"slices"
	"strings"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfstore"
)

// MembersDelta holds the changes between the members at revision Base and those at Revision.
type MembersDelta struct {
	Base     bfstore.Revision `cbor:"1,keyasint"`
	Revision bfstore.Revision `cbor:"2,keyasint"`
	Changed  []bffleet.Member `cbor:"3,keyasint,omitempty"`
	Gone     []string         `cbor:"4,keyasint,omitempty"`
}

// AppliesTo reports whether the delta can be applied to members at the given revision. A
// revision between Base and Revision does not qualify: it can contain a row that was added and
// removed since Base, and the delta does not list that removal. Nor does a delta between two
// eras of the store: what is missing in the new era may only have to be written again.
func (d MembersDelta) AppliesTo(revision bfstore.Revision) bool {
	return d.Base == revision && revision < d.Revision && d.Base.Era() == d.Revision.Era()
}

// membersDelta computes the delta between two rosters. A row that was rewritten has another
// revision, so it counts as changed even if its contents are the same.
func membersDelta(from, to Roster) MembersDelta {
	d := MembersDelta{Base: from.Revision, Revision: to.Revision}
	unmatched := make(map[string]bffleet.Member, len(from.Members))
	for _, m := range from.Members {
		unmatched[m.Inbound] = m
	}
	for _, m := range to.Members {
		if unmatched[m.Inbound] != m {
			d.Changed = append(d.Changed, m)
		}
		delete(unmatched, m.Inbound)
	}
	for inbound := range unmatched {
		d.Gone = append(d.Gone, inbound)
	}
	slices.SortFunc(d.Changed, func(a, b bffleet.Member) int { return strings.Compare(a.Inbound, b.Inbound) })
	slices.Sort(d.Gone)
	return d
}
