package bfnews

import (
	"cmp"
	"hash/fnv"
	"slices"

	"bilberryflow.org/lib/bffleet"
)

const (
	// relaysPerDomain is how many members of a failure domain send updates to the rest of it.
	// With two, the loss of one interrupts no updates.
	relaysPerDomain = 2
	// sourcesPerFleet is how many relays read the store, counted over all domains. Every change
	// costs each reader a call.
	sourcesPerFleet = 2
)

// role is a node's part in the distribution of updates.
type role int

const (
	// follower nodes receive updates from the relays of their domain.
	follower role = iota
	// relay nodes receive updates from the sources and forward them to their domain.
	relay
	// source nodes read the store and send updates to the relays of all domains.
	source
)

// String returns the role's name for logs.
func (r role) String() string {
	switch r {
	case source:
		return "source"
	case relay:
		return "relay"
	case follower:
		return "follower"
	}
	return "unknown"
}

// plan determines which nodes read the store and which nodes each node updates. Nodes with the
// same member list compute the same plan without coordination.
type plan struct {
	// generation is the fleet's generation that the plan was computed from.
	generation uint64
	size       int
	// domain lists the members of the node's own domain, relays first.
	domain []bffleet.Member
	// relays lists the relays of all domains, sources first.
	relays []bffleet.Member
	// sources is the number of relays that are sources.
	sources int
}

// makePlan computes the plan of a node in the given domain.
func makePlan(domain string, members []bffleet.Member) *plan {
	p := &plan{size: len(members)}
	slices.SortFunc(members, compareByLinkSpeed)
	relaysByDomain := map[string]int{}
	for _, m := range members {
		if m.Domain == domain {
			p.domain = append(p.domain, m)
		}
		if relaysByDomain[m.Domain] < relaysPerDomain {
			relaysByDomain[m.Domain]++
			p.relays = append(p.relays, m)
		}
	}
	p.chooseSources()
	return p
}

// compareByLinkSpeed orders members by descending link speed, and by a hash for equal speeds.
func compareByLinkSpeed(a, b bffleet.Member) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hash(a.Inbound), hash(b.Inbound)), cmp.Compare(a.Inbound, b.Inbound))
}

// chooseSources moves the sources to the front: the first relay, then the next one in another
// domain if there is one. A domain that is partitioned then isolates at most one source.
func (p *plan) chooseSources() {
	p.sources = min(sourcesPerFleet, len(p.relays))
	for at := 1; at < p.sources; at++ {
		other := slices.IndexFunc(p.relays[at:], func(m bffleet.Member) bool {
			return !slices.ContainsFunc(p.relays[:at], func(s bffleet.Member) bool { return s.Domain == m.Domain })
		})
		if other > 0 {
			chosen := p.relays[at+other]
			p.relays = slices.Insert(slices.Delete(p.relays, at+other, at+other+1), at, chosen)
		}
	}
}

// roleOf returns the role of a node.
func (p *plan) roleOf(inbound string) role {
	at := slices.IndexFunc(p.relays, func(m bffleet.Member) bool { return m.Inbound == inbound })
	switch {
	case at < 0:
		return follower
	case at < p.sources:
		return source
	}
	return relay
}

// rank returns a follower's position in its domain, 0 for the first after the relays.
func (p *plan) rank(inbound string) int {
	at := slices.IndexFunc(p.domain, func(m bffleet.Member) bool { return m.Inbound == inbound })
	if at < 0 {
		at = len(p.domain)
	}
	return max(at-relaysPerDomain, 0)
}

// downstream returns the members that a node updates, without the node itself.
func (p *plan) downstream(inbound string) []bffleet.Member {
	all := slices.Clone(p.domain)
	if p.roleOf(inbound) == source {
		for _, m := range p.relays {
			if !slices.Contains(all, m) {
				all = append(all, m)
			}
		}
	}
	return slices.DeleteFunc(all, func(m bffleet.Member) bool { return m.Inbound == inbound })
}

// upstream returns the members from which a node of the domain fetches first: its relays and
// the sources, without the node itself.
func (p *plan) upstream(inbound string) []bffleet.Member {
	all := slices.Clone(p.domain[:min(relaysPerDomain, len(p.domain))])
	for _, m := range p.relays[:p.sources] {
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return slices.DeleteFunc(all, func(m bffleet.Member) bool { return m.Inbound == inbound })
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}

// recipients returns the members that first receive a record from a node: the relays of its
// domain and the sources, and for a relay or source also the members that it updates. A
// follower forwards only records of its own.
func (p *plan) recipients(inbound string, own bool) []bffleet.Member {
	if p.size == 0 || !own && p.roleOf(inbound) == follower {
		return nil
	}
	all := p.upstream(inbound)
	if p.roleOf(inbound) == follower {
		return all
	}
	for _, m := range p.downstream(inbound) {
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return all
}
