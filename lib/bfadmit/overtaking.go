package bfadmit

import "slices"

const (
	// window is how many starts the shares of classes and tenants are taken from.
	window = 64
	// maxLevel is the highest level told apart.
	maxLevel = 64
)

// begun is what the gate remembers of a start.
type begun struct {
	class  *class
	tenant *tenant
	// level is how many slots and waiters the tenant had when the request came.
	level int
}

// history is a ring of the last starts.
type history struct {
	ring [window]begun
	at   int
}

func (h *history) add(b begun) {
	if oldest := h.ring[h.at]; oldest.class != nil {
		oldest.class.recent--
		oldest.class.levels[oldest.level]--
		oldest.tenant.levels = slices.Delete(oldest.tenant.levels, 0, 1)
	}
	h.ring[h.at] = b
	h.at = (h.at + 1) % window
	b.class.recent++
	b.class.levels[b.level]++
	b.tenant.levels = append(b.tenant.levels, b.level)
}

// overtaking is how often the waiters of one class were overtaken of late by
// requests that came after them.
//
// A tenant with many waiters is overtaken by those who come later for tenants
// with few. How many will is taken from the share of recent starts that came
// with less than half of what the waiter's tenant has before it. Without this
// one tenant's flood was let in and most of it refused again near its deadlines.
type overtaking struct {
	recent int
	// below counts the recent starts of the class below each level.
	below [maxLevel + 1]int
}

func overtakingOf(c *class) overtaking {
	o := overtaking{recent: c.recent}
	for level := range maxLevel {
		o.below[level+1] = o.below[level] + c.levels[level]
	}
	return o
}

// starts is how many starts of its class it takes to start j, with ahead
// waiters of the class before it, tenantAhead of them its tenant's.
func (o *overtaking) starts(j *job, ahead, tenantAhead int) int {
	half := min((j.tenant.inUse+tenantAhead)/2, maxLevel)
	overtook := o.below[half]
	if overtook > 0 {
		overtook -= countBelow(j.tenant.levels, half)
	}
	if overtook == 0 {
		return ahead + 1
	}
	return (ahead + 1) * o.recent / max(o.recent-overtook, o.recent/minShareEvery, 1)
}

func countBelow(levels []int, bound int) int {
	count := 0
	for _, level := range levels {
		if level < bound {
			count++
		}
	}
	return count
}
