package bfadmit

import "slices"

const (
	// window is the number of recent starts over which shares are computed.
	window = 64
	// maxLevel is the highest level that is counted separately.
	maxLevel = 64
)

// startRecord is one start in the history.
type startRecord struct {
	class  *class
	tenant *tenant
	// level is the job's level, up to maxLevel.
	level int
}

// history is a ring buffer of the last starts.
type history struct {
	ring [window]startRecord
	at   int
}

func (h *history) add(b startRecord) {
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

// overtaking estimates how many later requests will start before the queued ones
// of a class.
//
// A tenant with a long queue is overtaken by later requests of tenants with short
// ones. Their number is estimated by the share of recent starts whose level was
// less than half of what the job's tenant has before it. Without this, a flood of
// one tenant would be queued and then mostly refused near its deadlines.
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

// starts returns the expected number of starts of its class until j starts, with
// ahead queued jobs of the class before it, tenantAhead of them of its tenant.
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
