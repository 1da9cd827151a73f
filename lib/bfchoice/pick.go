package bfchoice

import (
	"slices"
	"time"
)

// Pick selects the target of a request; false means that no target is eligible.
//
// It takes the less occupied of two random candidates. Targets of ownDomain are
// preferred while one of them has capacity, then those of other failure domains;
// if all are full, two of all targets are compared. Targets in exclude are never
// picked. random must be uniformly distributed.
func Pick(now time.Time, set *Set, ownDomain string, exclude []string, random uint64) (*Target, bool) {
	p := picker{set: set, now: now, exclude: exclude, random: random}
	for range maxClaimAttempts {
		best := p.pick(set.domains[ownDomain], span{0, len(set.usable)})
		if best == nil {
			return nil, false
		}
		if p.claimProbe(best) {
			return best.target, true
		}
	}
	return nil, false
}

// maxClaimAttempts limits the picks after losing the race for a probe; each loss
// makes one half-open target ineligible.
const maxClaimAttempts = 4

func (p *picker) pick(own, all span) *candidate {
	if best := p.pickWithCapacity(own, span{}); best != nil {
		return best
	}
	if best := p.pickWithCapacity(all, own); best != nil {
		return best
	}
	return p.lessOccupied(all, span{})
}

// picker holds the arguments of one Pick.
type picker struct {
	set     *Set
	now     time.Time
	exclude []string
	random  uint64
}

// claimProbe reserves the probe slot if the target is half-open; only one request succeeds.
func (p *picker) claimProbe(c *candidate) bool {
	return !c.target.outlier.ejected() || c.target.outlier.startProbe(p.now)
}

// randIntn returns a uniformly distributed number in [0, n).
func (p *picker) randIntn(n int) int {
	// One step of splitmix64, so that each call uses other bits of random.
	p.random += 0x9e3779b97f4a7c15
	z := p.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}

// eligible reports whether the target may be picked regardless of its load.
func (p *picker) eligible(c *candidate) bool {
	outlier := &c.target.outlier
	if outlier.ejected() && !outlier.probeDue(p.now) {
		return false
	}
	return len(p.exclude) == 0 || !slices.Contains(p.exclude, c.target.id)
}

// pickWithCapacity returns the less occupied of two candidates in part, outside without,
// if it has capacity, else any candidate there that has, else nil.
func (p *picker) pickWithCapacity(part, without span) *candidate {
	best := p.lessOccupied(part, without)
	if best == nil || best.occupancy(p.now) < 1 {
		return best
	}
	// Starts at a random index, so that concurrent requests do not converge on the first candidate.
	n := part.to - part.from
	start := p.randIntn(n)
	for i := range n {
		at := part.from + (start+i)%n
		c := p.set.usable[at]
		if !without.contains(at) && p.eligible(c) && c.occupancy(p.now) < 1 {
			return c
		}
	}
	return nil
}

func (s span) contains(i int) bool { return s.from <= i && i < s.to }

// lessOccupied returns the less occupied of two random candidates in part, outside without.
func (p *picker) lessOccupied(part, without span) *candidate {
	first := p.nextEligible(part, without, nil)
	if first == nil {
		return nil
	}
	second := p.nextEligible(part, without, first)
	if second == nil {
		return first
	}
	x, y := first.occupancy(p.now), second.occupancy(p.now)
	if x < y || x == y && !p.hintPrefersSecond(first, second) {
		return first
	}
	return second
}

// hintPrefersSecond reports whether the health hints favor the second candidate.
func (p *picker) hintPrefersSecond(first, second *candidate) bool {
	return Hint(first.target.hint.Load()) == HintUnhealthy && Hint(second.target.hint.Load()) != HintUnhealthy
}

// nextEligible returns the first eligible candidate from a random index on. A cold one
// is skipped with the probability that its slow start requires, unless all are cold.
func (p *picker) nextEligible(part, without span, other *candidate) *candidate {
	n := part.to - part.from
	if n == 0 {
		return nil
	}
	start := p.randIntn(n)
	var skipped *candidate
	for i := range n {
		at := part.from + (start+i)%n
		c := p.set.usable[at]
		if c == other || without.contains(at) || !p.eligible(c) {
			continue
		}
		if c.member.State != Cold || p.slowStartAdmits(c) {
			return c
		}
		if skipped == nil {
			skipped = c
		}
	}
	return skipped
}

func (p *picker) slowStartAdmits(c *candidate) bool {
	const steps = 1 << 16
	return float64(p.randIntn(steps)) < c.slowStartShare(p.now)*steps
}
