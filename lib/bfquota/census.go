package bfquota

import "time"

// censusSpan is how long a larger number of members counts after the fleet has shrunk. A member that
// was removed while it runs stops spending within contactSpan, which is shorter.
const censusSpan = 6 * time.Second

// census is the number of members that a node has seen recently. Its zero value is empty.
type census struct {
	span  time.Duration
	sizes []sizeAt
}

// sizeAt is a number of members and when it was last seen.
type sizeAt struct {
	size int
	last time.Duration
}

// observe records the number of members. Smaller sizes than a later one don't count any more.
func (c *census) observe(size int, now time.Duration) {
	c.prune(now)
	for len(c.sizes) > 0 && c.sizes[len(c.sizes)-1].size <= size {
		c.sizes = c.sizes[:len(c.sizes)-1]
	}
	if len(c.sizes) > 0 {
		// The previous size was in force until now.
		c.sizes[len(c.sizes)-1].last = now
	}
	c.sizes = append(c.sizes, sizeAt{size, now})
}

// largest returns the largest number of members within the span, at least 1.
func (c *census) largest(now time.Duration) int {
	c.prune(now)
	if len(c.sizes) == 0 {
		return 1
	}
	return max(c.sizes[0].size, 1)
}

func (c *census) prune(now time.Duration) {
	for len(c.sizes) > 1 && now-c.sizes[0].last > c.span {
		c.sizes = c.sizes[1:]
	}
}
