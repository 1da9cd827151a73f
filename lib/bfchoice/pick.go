package bfchoice

import (
	"slices"
	"time"
)

// Pick chooses the target for a request; false means that none may take it.
//
// Of two random candidates the one with the lower occupancy wins. A failure
// domain's own targets are taken while one of them has room, then those of the
// others, and when all are full the least occupied of two of all. Targets in
// exclude are never picked. random must be evenly distributed.
func Pick(now time.Time, set *Set, ownDomain string, exclude []string, random uint64) (*Target, bool) {
	p := picker{set: set, now: now, exclude: exclude, random: random}
	for range claimAttempts {
		best := p.pick(set.domains[ownDomain], span{0, len(set.usable)})
		if best == nil {
			return nil, false
		}
		if p.claim(best) {
			return best.target, true
		}
	}
	return nil, false
}

// claimAttempts bounds how often a request loses the race for a probe and
// picks again; each loss takes one half-open target out of its choice.
const claimAttempts = 4

func (p *picker) pick(own, all span) *candidate {
	if best := p.withRoom(own, span{}); best != nil {
		return best
	}
	if best := p.withRoom(all, own); best != nil {
		return best
	}
	return p.better(all, span{})
}

// picker is the arguments of one Pick.
type picker struct {
	set     *Set
	now     time.Time
	exclude []string
	random  uint64
}

// claim makes a half-open target's probe exclusive: of those who race for it one may have it.
func (p *picker) claim(c *candidate) bool {
	return !c.target.outlier.aside() || c.target.outlier.startProbe(p.now)
}

// draw gives an even number in [0, n).
func (p *picker) draw(n int) int {
	// The steps of splitmix64: each draw needs other bits of random.
	p.random += 0x9e3779b97f4a7c15
	z := p.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}

// allowed is the rule that no choice by load may override.
func (p *picker) allowed(c *candidate) bool {
	outlier := &c.target.outlier
	if outlier.aside() && !outlier.probeDue(p.now) {
		return false
	}
	return len(p.exclude) == 0 || !slices.Contains(p.exclude, c.target.id)
}

// withRoom is the better of two in part that has room, else any that has.
func (p *picker) withRoom(part, without span) *candidate {
	best := p.better(part, without)
	if best == nil || best.occupancy(p.now) < 1 {
		return best
	}
	// From a random place on, or all that find the rest full would meet at the first.
	n := part.to - part.from
	start := p.draw(n)
	for i := range n {
		at := part.from + (start+i)%n
		c := p.set.usable[at]
		if !without.holds(at) && p.allowed(c) && c.occupancy(p.now) < 1 {
			return c
		}
	}
	return nil
}

func (s span) holds(i int) bool { return s.from <= i && i < s.to }

// better is the less occupied of two random candidates in part.
func (p *picker) better(part, without span) *candidate {
	first := p.next(part, without, nil)
	if first == nil {
		return nil
	}
	second := p.next(part, without, first)
	if second == nil {
		return first
	}
	x, y := first.occupancy(p.now), second.occupancy(p.now)
	if x < y || x == y && !p.hintsAgainst(first, second) {
		return first
	}
	return second
}

// hintsAgainst reports whether the health endpoints speak for the second.
func (p *picker) hintsAgainst(first, second *candidate) bool {
	return Hint(first.target.hint.Load()) == HintUnhealthy && Hint(second.target.hint.Load()) != HintUnhealthy
}

// next is the first candidate allowed from a random place on; a cold one is
// passed over as often as its ramp asks, unless there are only cold ones.
func (p *picker) next(part, without span, other *candidate) *candidate {
	n := part.to - part.from
	if n == 0 {
		return nil
	}
	start := p.draw(n)
	var passedOver *candidate
	for i := range n {
		at := part.from + (start+i)%n
		c := p.set.usable[at]
		if c == other || without.holds(at) || !p.allowed(c) {
			continue
		}
		if c.member.State != Cold || p.rampAdmits(c) {
			return c
		}
		if passedOver == nil {
			passedOver = c
		}
	}
	return passedOver
}

func (p *picker) rampAdmits(c *candidate) bool {
	const steps = 1 << 16
	return float64(p.draw(steps)) < c.ramp(p.now)*steps
}
