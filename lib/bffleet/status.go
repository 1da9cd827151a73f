package bffleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// TargetStatus is the status of one target as a node sees it, for operators.
type TargetStatus struct {
	Member Member
	// InFlight is the number of the node's own requests at the target.
	InFlight int
	// Used and Slots are the last reported load, and Age is the age of that report.
	// Slots is 0 if there is none.
	Used, Slots int
	Age         time.Duration
	// Lost is set while the target's node is unreachable and being probed, Suspended while
	// the target is suspended.
	Lost, Suspended bool
}

// IsEligible reports whether the target is eligible for requests.
func (s TargetStatus) IsEligible() bool { return !s.Lost && !s.Suspended }

// State returns the name of the state.
func (s TargetStatus) State() string {
	switch {
	case s.Lost:
		return "lost"
	case s.Suspended:
		return "aside"
	}
	return "ready"
}

// Reason returns the reason for the state.
func (s TargetStatus) Reason() string {
	switch {
	case s.Lost:
		return "its node accepts no connections and is being probed"
	case s.Suspended:
		return "its node recently refused a request for a reason other than lack of slots"
	case s.Slots == 0:
		return "nothing was heard of its load yet"
	}
	return fmt.Sprintf("%d of %d slots in use %v ago", s.Used, s.Slots, s.Age.Round(time.Millisecond))
}

// Statuses returns the status of all members' targets, ordered by domain and name.
func (f *Fleet) Statuses(now time.Time) []TargetStatus {
	var list []TargetStatus
	for _, t := range f.view.Load().members {
		s := TargetStatus{Member: t.member, InFlight: int(t.inFlight.Load()), Lost: t.probing.Load()}
		s.Suspended = !s.Lost && t.isSuspended(now)
		if report := t.lastLoad.Load(); report != nil {
			s.Used, s.Slots, s.Age = report.used, report.slots, now.Sub(report.when)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Member.Domain, b.Member.Domain), cmp.Compare(a.Member.Name(), b.Member.Name()))
	})
	return list
}
