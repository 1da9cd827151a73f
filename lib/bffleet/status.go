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
		return "its node accepts no connections or answers nothing, and is being probed"
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
		list = append(list, t.status(now))
	}
	slices.SortFunc(list, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Member.Domain, b.Member.Domain), cmp.Compare(a.Member.Name(), b.Member.Name()))
	})
	return list
}

func (t *Target) status(now time.Time) TargetStatus {
	s := TargetStatus{Member: t.member, InFlight: int(t.inFlight.Load()), Lost: t.probing.Load()}
	s.Suspended = !s.Lost && t.isSuspended(now)
	if report := t.lastLoad.Load(); report != nil {
		s.Used, s.Slots, s.Age = report.used, report.slots, now.Sub(report.when)
	}
	return s
}

// Ranked is a target with what entries choose by among the targets of a service.
type Ranked struct {
	TargetStatus
	// Cost is the cost of sending the request to it, in units of the value of one answer. Entries choose
	// the target of the lowest cost, within a small random part.
	Cost float64
	// Load is the share of its slots in use with the request, RunTime its run time over the mean of its
	// service.
	Load, RunTime float64
	// Leaving is set if the target has said that it leaves, OtherDomain if it is in another failure domain.
	Leaving, OtherDomain bool
}

// IsEligible reports whether the target is eligible for requests.
func (r Ranked) IsEligible() bool { return r.TargetStatus.IsEligible() && !r.Leaving }

// Rank returns the targets of the demanded service in the order in which a request would be sent to
// them now: the eligible ones by their cost, then the others.
func (f *Fleet) Rank(demand Demand, now time.Time) []Ranked {
	var list []Ranked
	for _, t := range f.view.Load().services[demand.Service] {
		r := Ranked{
			TargetStatus: t.status(now), Load: t.Load(now), RunTime: t.RelativeRunTime(),
			Leaving: t.start.leaving.Load(), OtherDomain: f.IsInOtherDomain(t),
		}
		r.Cost, _ = t.cost(f.place, demand, now, 0)
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b Ranked) int {
		if a.IsEligible() != b.IsEligible() {
			if a.IsEligible() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	return list
}
