package bfchoice

import (
	"cmp"
	"slices"
	"time"
)

// State is a target's state in the membership.
type State int

// The states; only Ready and Cold targets are picked.
const (
	Ready State = iota
	Cold
	Leaving
	Silent
	Dead
)

// Member is one target of a service in the membership.
type Member struct {
	ID            string
	FailureDomain string
	Slots         int
	State         State
	// ColdSince and ColdStart are the start and the duration of a Cold target's slow start.
	ColdSince time.Time
	ColdStart time.Duration
}

// candidate is a member of a Set with the node's observations of it.
type candidate struct {
	member Member
	target *Target
}

// Set is an immutable set of candidates of one service.
type Set struct {
	// usable holds the Ready and Cold candidates, sorted by failure domain.
	usable  []*candidate
	domains map[string]span
	// targets holds the targets of all members, so that observations outlive a silent phase.
	targets map[string]*Target
	typical *typical
}

// span is the index range of one failure domain in Set.usable.
type span struct{ from, to int }

func newSet(old *Set, members []Member) *Set {
	s := &Set{domains: map[string]span{}, targets: make(map[string]*Target, len(members)), typical: &typical{}}
	if old != nil {
		s.typical = old.typical
	}
	for _, member := range members {
		target := &Target{id: member.ID, typical: s.typical}
		if old != nil && old.targets[member.ID] != nil {
			target = old.targets[member.ID]
		}
		s.targets[member.ID] = target
		if member.State == Ready || member.State == Cold {
			s.usable = append(s.usable, &candidate{member: member, target: target})
		}
	}
	slices.SortFunc(s.usable, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.member.FailureDomain, b.member.FailureDomain), cmp.Compare(a.member.ID, b.member.ID))
	})
	for i, c := range s.usable {
		domain, found := s.domains[c.member.FailureDomain]
		if !found {
			domain.from = i
		}
		domain.to = i + 1
		s.domains[c.member.FailureDomain] = domain
	}
	return s
}

// Usable returns the number of Ready and Cold targets.
func (s *Set) Usable() int { return len(s.usable) }

// Target returns the target with that ID, whether usable or not.
func (s *Set) Target(id string) (*Target, bool) {
	target, found := s.targets[id]
	return target, found
}

// Ejected returns the number of usable targets that are ejected.
func (s *Set) Ejected() int {
	count := 0
	for _, c := range s.usable {
		if c.target.outlier.ejected() {
			count++
		}
	}
	return count
}

// maxEjected limits ejection to a third of the set: when more targets fail at once,
// the cause is more likely the network, and the last target must stay in use.
func (s *Set) maxEjected() int { return len(s.usable) / ejectionDivisor }
