package bfadmit

// maxLevel is the highest level told apart.
const maxLevel = 64

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

// measure takes the recent starts of c; it is good until the next start.
func (o *overtaking) measure(g *Gate, c *class) {
	*o = overtaking{recent: c.recent}
	for i := range g.recent {
		if g.recent[i].class == c {
			g.recent[i].tenant.levels = g.recent[i].tenant.levels[:0]
		}
	}
	for i := range g.recent {
		if b := &g.recent[i]; b.class == c {
			b.tenant.levels = append(b.tenant.levels, b.level)
			if b.level < maxLevel {
				o.below[b.level+1]++
			}
		}
	}
	for level := range maxLevel {
		o.below[level+1] += o.below[level]
	}
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
