package bffleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Fleet is one node's view of the members, with the state of their targets. It is safe for concurrent use.
type Fleet struct {
	place Place
	// random returns random numbers from 0 to 1.
	random func() float64

	mu   sync.Mutex
	view atomic.Pointer[view]
	// starts holds what is known of the starts of targets.
	starts map[startKey]*startState
}

// view is an immutable snapshot of the fleet.
type view struct {
	generation uint64
	members    map[string]*Target
	services   map[string][]*Target
}

// Place is the location of the node that holds a Fleet.
type Place struct {
	// Inbound is the node's own inbound address, which identifies it among the members.
	Inbound string
	// Domain is the node's failure domain.
	Domain string
	// LinkBytes is the bandwidth of the node's link in bytes per second, 0 if it is no bottleneck.
	LinkBytes float64
}

// New returns the fleet of a node, without members.
func New(place Place) *Fleet { return NewWithRandom(place, rand.Float64) }

// NewWithRandom is New with a source of random numbers from 0 to 1, for deterministic
// simulations.
func NewWithRandom(place Place, random func() float64) *Fleet {
	f := &Fleet{place: place, random: random, starts: map[startKey]*startState{}}
	f.view.Store(&view{})
	return f
}

// Replace replaces all members.
func (f *Fleet) Replace(members []Member) {
	f.update(func(map[string]*Target) map[string]*Target {
		held := f.view.Load().members
		next := make(map[string]*Target, len(members))
		for _, m := range members {
			next[m.Inbound] = f.keepOrReplace(held[m.Inbound], m)
		}
		return next
	})
}

// Change adds or updates some members and removes others.
func (f *Fleet) Change(members []Member, gone []string) {
	f.update(func(next map[string]*Target) map[string]*Target {
		for _, inbound := range gone {
			delete(next, inbound)
		}
		for _, m := range members {
			next[m.Inbound] = f.keepOrReplace(next[m.Inbound], m)
		}
		return next
	})
}

// keepOrReplace returns the existing target if its member did not change, to keep its state.
func (f *Fleet) keepOrReplace(held *Target, m Member) *Target {
	if held != nil && held.member == m {
		return held
	}
	return &Target{member: m, start: f.startOf(m)}
}

func (f *Fleet) update(change func(map[string]*Target) map[string]*Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &view{generation: f.view.Load().generation + 1, members: map[string]*Target{}, services: map[string][]*Target{}}
	maps.Copy(next.members, f.view.Load().members)
	next.members = change(next.members)
	f.forgetStarts(next.members)
	for _, inbound := range slices.Sorted(maps.Keys(next.members)) {
		t := next.members[inbound]
		next.services[t.member.Service] = append(next.services[t.member.Service], t)
	}
	f.view.Store(next)
}

// Members returns the members in no particular order.
func (f *Fleet) Members() []Member {
	held := f.view.Load().members
	all := make([]Member, 0, len(held))
	for _, t := range held {
		all = append(all, t.member)
	}
	return all
}

// Generation returns a number that grows with each change of the members.
func (f *Fleet) Generation() uint64 { return f.view.Load().generation }

// Member returns the member with an inbound address.
func (f *Fleet) Member(inbound string) (Member, bool) {
	t, found := f.view.Load().members[inbound]
	if !found {
		return Member{}, false
	}
	return t.member, true
}

// Lost returns the number of members whose nodes are unreachable and being probed.
func (f *Fleet) Lost() int {
	lost := 0
	for _, t := range f.view.Load().members {
		if t.probing.Load() {
			lost++
		}
	}
	return lost
}

// Probed returns the number of a service's targets, without those that leave, and how many of these are
// excluded while their nodes are probed.
func (f *Fleet) Probed(service string) (probed, targets int) {
	for _, t := range f.view.Load().services[service] {
		if t.start.leaving.Load() {
			continue
		}
		targets++
		if t.probing.Load() {
			probed++
		}
	}
	return probed, targets
}

// Contains reports whether the target belongs to a current member.
func (f *Fleet) Contains(t *Target) bool { return f.view.Load().members[t.member.Inbound] == t }

// IsInOtherDomain reports whether the target is in a failure domain other than the node's.
func (f *Fleet) IsInOtherDomain(t *Target) bool { return t.member.Domain != f.place.Domain }

// Size returns the number of members.
func (f *Fleet) Size() int { return len(f.view.Load().members) }

// Choice is the result of Pick.
type Choice struct {
	target *Target
	full   bool
	// others is the number of other candidates in the node's failure domain.
	others int
}

// Target returns the chosen target, or nil if there was no candidate.
func (c Choice) Target() *Target { return c.target }

// Others returns the number of other candidates in the node's failure domain.
func (c Choice) Others() int { return c.others }

// Full reports whether all slots of the target are likely in use.
func (c Choice) Full() bool { return c.full }

// Pick chooses the target of the next attempt, excluding those already tried.
//
// If the first attempt has no other candidate, suspended targets count as well. An entry
// with a single target of a service would otherwise refuse requests without an attempt
// for as long as the suspension lasts.
func (f *Fleet) Pick(demand Demand, now time.Time, tried []*Target) Choice {
	choice := f.pick(demand, now, tried, false)
	if choice.target == nil && len(tried) == 0 {
		choice = f.pick(demand, now, tried, true)
	}
	if choice.target != nil {
		choice.target.chosenAt.Store(now.UnixNano())
	}
	return choice
}

// pick chooses the candidate of the lowest cost; withSuspended includes suspended targets.
func (f *Fleet) pick(demand Demand, now time.Time, tried []*Target, withSuspended bool) Choice {
	var best Choice
	bestCost, inDomain := 0.0, 0
	for _, t := range selectVersions(f.view.Load().services[demand.Service], demand.Versions) {
		if t.probing.Load() || t.start.leaving.Load() || slices.Contains(tried, t) {
			continue
		}
		if !withSuspended && t.isSuspended(now) || demand.SameDomain && f.IsInOtherDomain(t) {
			continue
		}
		if !f.IsInOtherDomain(t) {
			inDomain++
		}
		cost, full := t.cost(f.place, demand, now, f.random())
		if best.target == nil || cost < bestCost {
			best, bestCost = Choice{target: t, full: full}, cost
		}
	}
	best.others = inDomain
	if best.target != nil && !f.IsInOtherDomain(best.target) {
		best.others--
	}
	return best
}
