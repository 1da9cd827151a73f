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

	mu   sync.Mutex
	view atomic.Pointer[view]
}

// view is one immutable state of the fleet.
type view struct {
	members  map[string]*Target
	services map[string][]*Target
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
func New(place Place) *Fleet {
	f := &Fleet{place: place}
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
	next := &view{members: map[string]*Target{}, services: map[string][]*Target{}}
	maps.Copy(next.members, f.view.Load().members)
	next.members = change(next.members)
	for _, t := range next.members {
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

// Size is the number of members.
func (f *Fleet) Size() int { return len(f.view.Load().members) }

const (
	// otherDomain is the load by which a target in another failure domain is
	// passed over for one in the node's own: the way is longer.
	otherDomain = 1.0
	// bytesOfLoad is how many bytes sent between domains weigh as much as a whole
	// load. Bytes between domains are paid for, at the users' prices a download of
	// 90 kB with about what its answer is worth; a short answer costs next to nothing.
	bytesOfLoad = 20_000
	// overfull is added where all slots are believed in use; the next best is
	// asked first.
	overfull = 1.0
	// linkCost is the load that a target beside another node counts for when the
	// answer takes the node's link a second: downloads of a node with a target of
	// their own take a slow link once and not twice.
	linkCost = 10
	// fullShare is the part of a request's mean time for which a full target in
	// another domain is not asked again. Of about ten slots one or two are free by
	// then, and its own domain is nearer to them.
	fullShare = 0.25
	// longAnswer is the number of bytes from which an answer waits for its node's link.
	longAnswer = 16 << 10
	// waitCost is the load that a target counts for where a long answer waits for
	// its node's link for a whole objective: more than the bytes to another domain
	// cost a download of 90 kB, so that it goes there before it is late.
	waitCost = 8
	// failingCost is the load that a target counts for that fails every request.
	failingCost = 2.0
	// lateCost is the load that a target counts for where a request is expected to
	// take its whole objective. Targets of one service differ in speed by more than
	// twice: requests with much time to spare go to the slow ones.
	lateCost = 1.0
	// jitter keeps nodes that were told the same loads from choosing the same target.
	jitter = 0.1
	// probeInterval is how often a target of which nothing was ever heard is chosen
	// all the same: a new one in another domain would else get no work. What was
	// heard of the others is not refreshed by requests that the own domain has room for.
	probeInterval = time.Second
)

// Choice is the target of the next sending.
type Choice struct {
	target *Target
	full   bool
}

// Target is who was chosen, nil where none is left.
func (c Choice) Target() *Target { return c.target }

// Full reports whether all slots of the target are believed in use: none that
// was left to choose has a free one.
func (c Choice) Full() bool { return c.full }

// Demand is what is known of a request that a target is chosen for.
type Demand struct {
	// Service is the one that the request goes to.
	Service string
	// Bytes is how many the request moves with its answer.
	Bytes int
	// Haste is the part of its objective that a request of its route takes at a
	// target of mean speed.
	Haste float64
	// Usual is how long a request of its route takes in the mean.
	Usual time.Duration
	// Objective is the time in which the request should be answered.
	Objective time.Duration
}

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
	bestCost := 0.0
	for _, t := range f.view.Load().services[demand.Service] {
		if t.probing.Load() || slices.Contains(tried, t) {
			continue
		}
		if !aside && (t.aside(now) || t.surelyFull(f.place.Domain, demand, now)) {
			continue
		}
		cost, full := t.cost(f.place, demand, now)
		if best.target == nil || cost < bestCost {
			best, bestCost = Choice{t, full}, cost
		}
	}
	return best
}

// surelyFull reports whether a target in another domain said moments ago that it
// has no free slot. To ask it again costs bytes between domains for next to no chance.
func (t *Target) surelyFull(domain string, demand Demand, now time.Time) bool {
	told := t.told.Load()
	return t.member.Domain != domain && told != nil && told.used >= told.slots && float64(now.Sub(told.when)) < fullShare*float64(demand.Usual)
}

func (t *Target) cost(place Place, demand Demand, now time.Time) (cost float64, full bool) {
	load := t.load(now)
	full = load > 1
	cost = load + jitter*rand.Float64() + failingCost*t.failure(now) + lateCost*demand.Haste*t.slow()
	if full {
		cost += overfull
	}
	unknown := t.told.Load() == nil && now.UnixNano()-t.probed.Load() > int64(probeInterval)
	if t.member.Domain != place.Domain && !unknown {
		cost += otherDomain + float64(demand.Bytes)/bytesOfLoad
	}
	if demand.Bytes >= longAnswer && t.member.Inbound != place.Inbound {
		cost += waitCost * float64(t.linkWait(now)) / float64(max(demand.Objective, 1))
	}
	if t.member.Inbound != place.Inbound && place.LinkBytes > 0 {
		cost += linkCost * float64(demand.Bytes) / place.LinkBytes
	}
	return cost, full
}
