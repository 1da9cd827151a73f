package bffleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Fleet is the members that a node knows.
type Fleet struct {
	place Place
	// chance gives random numbers from 0 to 1.
	chance func() float64

	mu   sync.Mutex
	view atomic.Pointer[view]
}

// view is one immutable state of the fleet.
type view struct {
	generation uint64
	members    map[string]*Target
	services   map[string][]*Target
}

// Place is where the node that holds a Fleet stands.
type Place struct {
	// Inbound is the node's own name among the members.
	Inbound string
	// Domain is its failure domain.
	Domain string
	// LinkBytes is how many bytes its link moves in a second, 0 for a fast one.
	LinkBytes float64
}

// New makes the empty fleet of a node.
func New(place Place) *Fleet { return NewWithChance(place, rand.Float64) }

// NewWithChance is New with a source of random numbers from 0 to 1, for replays that
// are to come out the same each time.
func NewWithChance(place Place, chance func() float64) *Fleet {
	f := &Fleet{place: place, chance: chance}
	f.view.Store(&view{})
	return f
}

// Replace takes a whole list of members.
func (f *Fleet) Replace(members []Member) {
	f.swap(func(map[string]*Target) map[string]*Target {
		held := f.view.Load().members
		next := make(map[string]*Target, len(members))
		for _, m := range members {
			next[m.Inbound] = renewed(held[m.Inbound], m)
		}
		return next
	})
}

// Change adds or renews some members and removes others.
func (f *Fleet) Change(members []Member, gone []string) {
	f.swap(func(next map[string]*Target) map[string]*Target {
		for _, inbound := range gone {
			delete(next, inbound)
		}
		for _, m := range members {
			next[m.Inbound] = renewed(next[m.Inbound], m)
		}
		return next
	})
}

// renewed keeps what is known of a target whose member did not change.
func renewed(held *Target, m Member) *Target {
	if held != nil && held.member == m {
		return held
	}
	return &Target{member: m}
}

func (f *Fleet) swap(change func(map[string]*Target) map[string]*Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &view{generation: f.view.Load().generation + 1, members: map[string]*Target{}, services: map[string][]*Target{}}
	maps.Copy(next.members, f.view.Load().members)
	next.members = change(next.members)
	for _, inbound := range slices.Sorted(maps.Keys(next.members)) {
		t := next.members[inbound]
		next.services[t.member.Service] = append(next.services[t.member.Service], t)
	}
	f.view.Store(next)
}

// Members lists the members.
func (f *Fleet) Members() []Member {
	held := f.view.Load().members
	all := make([]Member, 0, len(held))
	for _, t := range held {
		all = append(all, t.member)
	}
	return all
}

// Generation counts the changes of the members.
func (f *Fleet) Generation() uint64 { return f.view.Load().generation }

// Member finds a member by its inbound address.
func (f *Fleet) Member(inbound string) (Member, bool) {
	t, found := f.view.Load().members[inbound]
	if !found {
		return Member{}, false
	}
	return t.member, true
}

// Lost is how many members' nodes are being looked for.
func (f *Fleet) Lost() int {
	lost := 0
	for _, t := range f.view.Load().members {
		if t.probing.Load() {
			lost++
		}
	}
	return lost
}

// Holds reports whether the target is that of a present member.
func (f *Fleet) Holds(t *Target) bool { return f.view.Load().members[t.member.Inbound] == t }

// IsFar reports whether the target is in another failure domain than the node.
func (f *Fleet) IsFar(t *Target) bool { return t.member.Domain != f.place.Domain }

// Size is the number of members.
func (f *Fleet) Size() int { return len(f.view.Load().members) }

// Choice is the target of the next sending.
type Choice struct {
	target *Target
	full   bool
	// others is how many other targets of the own failure domain were left to choose.
	others int
}

// Target is who was chosen, nil where none is left.
func (c Choice) Target() *Target { return c.target }

// Others is how many other targets of the node's failure domain were left to choose.
func (c Choice) Others() int { return c.others }

// Full reports whether all slots of the target are believed in use: none that
// was left to choose has a free one.
func (c Choice) Full() bool { return c.full }

// Pick chooses the target of the next sending among those that were not tried.
//
// A target that is set aside is asked all the same where no other was: an entry that
// knows one target of a service would else refuse for up to a second and a half
// without having asked anybody.
func (f *Fleet) Pick(demand Demand, now time.Time, tried []*Target) Choice {
	choice := f.pick(demand, now, tried, false)
	if choice.target == nil && len(tried) == 0 {
		choice = f.pick(demand, now, tried, true)
	}
	if choice.target != nil {
		choice.target.probed.Store(now.UnixNano())
	}
	return choice
}

func (f *Fleet) pick(demand Demand, now time.Time, tried []*Target, aside bool) Choice {
	var best Choice
	bestCost, near := 0.0, 0
	for _, t := range f.view.Load().services[demand.Service] {
		if t.probing.Load() || slices.Contains(tried, t) {
			continue
		}
		if !aside && t.aside(now) || demand.Near && f.IsFar(t) {
			continue
		}
		if !f.IsFar(t) {
			near++
		}
		cost, full := t.cost(f.place, demand, now, f.chance())
		if best.target == nil || cost < bestCost {
			best, bestCost = Choice{target: t, full: full}, cost
		}
	}
	best.others = near
	if best.target != nil && !f.IsFar(best.target) {
		best.others--
	}
	return best
}
