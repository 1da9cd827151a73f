package bfchoice

import (
	"cmp"
	"slices"
	"time"
)

// State is what the membership says of a target.
type State int

// The states; only Ready and Cold targets are ever picked.
const (
	Ready State = iota
	Cold
	Leaving
	Silent
	Dead
)

// Member is one target of a service as the membership has it.
type Member struct {
	ID            string
	FailureDomain string
	Slots         int
	State         State
	// ColdSince and ColdStart give the ramp of a Cold target.
	ColdSince time.Time
	ColdStart time.Duration
}

// candidate is a member of one Set with what was seen of it.
type candidate struct {
	member Member
	target *Target
}

// Set is the candidates of one service at one moment; it never changes once made.
type Set struct {
	// usable holds the Ready and Cold candidates, those of one failure domain side by side.
	usable  []*candidate
	domains map[string]span
	// targets holds every member's, so that a target keeps what was seen of it while it is silent.
	targets map[string]*Target
	typical *typical
}

// span is the part of Set.usable that lies in one failure domain.
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
		held, found := s.domains[c.member.FailureDomain]
		if !found {
			held.from = i
		}
		held.to = i + 1
		s.domains[c.member.FailureDomain] = held
	}
	return s
}

// Usable is how many targets may be picked.
func (s *Set) Usable() int { return len(s.usable) }

// Target returns the target of that ID, usable or not.
func (s *Set) Target(id string) (*Target, bool) {
	target, found := s.targets[id]
	return target, found
}

// Aside is how many usable targets are set aside.
func (s *Set) Aside() int {
	count := 0
	for _, c := range s.usable {
		if c.target.outlier.aside() {
			count++
		}
	}
	return count
}

// maxAside keeps most of a set, and always the last one, in use: when many
// targets look broken at once, the fault is more likely on the way to them.
func (s *Set) maxAside() int { return len(s.usable) / asideShare }
