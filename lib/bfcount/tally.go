package bfcount

import (
	"cmp"
	"slices"

	"bilberryflow.org/lib/bfconfig"
)

// Tally is the result of a count over a set of members.
type Tally struct {
	// Versions counts members by the version in force on them.
	Versions []VersionCount `cbor:"1,keyasint,omitempty"`
	Domains  []DomainCount  `cbor:"2,keyasint,omitempty"`
	// Lacks counts the members without a response in time.
	Lacks []UnreachableCount `cbor:"3,keyasint,omitempty"`
}

// VersionCount is the number of members that have a version in force.
type VersionCount struct {
	Version bfconfig.Version `cbor:"1,keyasint"`
	Members int              `cbor:"2,keyasint"`
}

// DomainCount is the number of members of a domain that responded, and their oldest version.
type DomainCount struct {
	Domain  string           `cbor:"1,keyasint"`
	Members int              `cbor:"2,keyasint"`
	Oldest  bfconfig.Version `cbor:"3,keyasint"`
}

// UnreachableCount is the number of members of a domain without a response, by the querying
// node's view.
type UnreachableCount struct {
	Domain  string `cbor:"1,keyasint"`
	Members int    `cbor:"2,keyasint"`
}

// Members returns the number of members that responded.
func (t Tally) Members() int {
	sum := 0
	for _, v := range t.Versions {
		sum += v.Members
	}
	return sum
}

// Unreachable returns the number of members that did not respond.
func (t Tally) Unreachable() int {
	sum := 0
	for _, l := range t.Lacks {
		sum += l.Members
	}
	return sum
}

// Oldest returns the oldest version in force on a member that responded, 0 if none did.
func (t Tally) Oldest() bfconfig.Version {
	if len(t.Versions) == 0 {
		return 0
	}
	return t.Versions[0].Version
}

// merge adds the tally of another set of members, which must be disjoint from this one.
func (t *Tally) merge(o Tally) {
	for _, v := range o.Versions {
		t.addVersion(v)
	}
	for _, d := range o.Domains {
		t.addDomain(d)
	}
	for _, l := range o.Lacks {
		t.addUnreachable(l)
	}
}

func (t *Tally) addVersion(v VersionCount) {
	i, found := slices.BinarySearchFunc(t.Versions, v, func(a, b VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	if !found {
		t.Versions = slices.Insert(t.Versions, i, v)
		return
	}
	t.Versions[i].Members += v.Members
}

func (t *Tally) addDomain(d DomainCount) {
	i, found := slices.BinarySearchFunc(t.Domains, d, func(a, b DomainCount) int { return cmp.Compare(a.Domain, b.Domain) })
	if !found {
		t.Domains = slices.Insert(t.Domains, i, d)
		return
	}
	t.Domains[i].Members += d.Members
	t.Domains[i].Oldest = min(t.Domains[i].Oldest, d.Oldest)
}

func (t *Tally) addUnreachable(l UnreachableCount) {
	i, found := slices.BinarySearchFunc(t.Lacks, l, func(a, b UnreachableCount) int { return cmp.Compare(a.Domain, b.Domain) })
	if !found {
		t.Lacks = slices.Insert(t.Lacks, i, l)
		return
	}
	t.Lacks[i].Members += l.Members
}
