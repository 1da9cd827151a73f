package bfadmit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is how many starts the share of each class is taken from.
	window = 64
	// returnShare is the part of the capacity that is promised to callers told to
	// come back: one in two, so that new callers are served meanwhile.
	returnShare = 2
	// longestReturn bounds RetryAfter: what lies further ahead can't be known.
	longestReturn = 30 * time.Second
	// shortestReturn spreads returns while no service time is known.
	shortestReturn = time.Millisecond
)

// rate is how fast starts come to a class, seen from one of its waiters.
type rate struct {
	// before is how many starts of other classes come first.
	before int
	// left is what other classes leave of window starts.
	left int
	// slots are those not held by capped classes of higher priority.
	slots int
}

// rateOf weighs what goes before class c: the waiters of higher classes, and
// by their share of recent starts those who will come meanwhile. It is the
// waiting time of a priority queue after Cobham.
func (g *Gate) rateOf(now time.Time, c *class) rate {
	r := rate{left: window, slots: g.capacity.effective(now)}
	for _, other := range g.order {
		switch {
		case other.priority <= c.priority:
		case other.concurrency > 0 && other.concurrency < g.capacity.slots:
			// It can't take more than its cap, however many wait.
			r.slots -= min(other.concurrency, other.inUse+other.queued)
		default:
			r.before += other.queued
			r.left -= other.recent
		}
	}
	r.left = max(r.left, window/minShareEvery)
	r.slots = max(r.slots, 1)
	return r
}

// wait is how long until a waiter is expected to start.
type wait struct {
	total time.Duration
	// steady is the part that stays as long if nothing moves until later.
	steady time.Duration
}

// waitOf is the wait of a waiter that takes own starts of class c, with tenantAhead of its tenant's before it.
func (g *Gate) waitOf(now time.Time, c *class, r rate, own, tenantAhead int) wait {
	starts := own + r.before
	for _, other := range g.order {
		if other != c && other.priority == c.priority {
			starts += min(other.queued, own)
		}
	}
	starts = min(starts*window/r.left, own*minShareEvery+r.before)
	line := time.Duration(starts) * g.service.mean / time.Duration(r.slots)
	var caps time.Duration
	if c.concurrency > 0 {
		caps = time.Duration(own) * g.serviceOf(c) / time.Duration(c.concurrency)
	}
	if c.tenantLimit > 0 {
		caps = max(caps, time.Duration(tenantAhead+1)*g.serviceOf(c)/time.Duration(c.tenantLimit))
	}
	if g.inUse < g.capacity.effective(now) {
		return wait{total: max(line, caps), steady: max(line, caps)}
	}
	// Starts are expected evenly from the last one on. A target that hangs
	// finishes nothing, so no average shows it: the next start is expected no
	// sooner than the time for which nothing has moved, else all who came would
	// wait to their deadlines.
	idle := now.Sub(g.progress)
	return wait{total: max(line-idle, idle, caps), steady: caps}
}

func (g *Gate) serviceOf(c *class) time.Duration {
	if c.service.mean > 0 {
		return c.service.mean
	}
	return g.service.mean
}

// inTime reports whether a request that starts after wait can be expected to be of use.
func (g *Gate) inTime(now time.Time, c *class, wait time.Duration, deadline time.Time) bool {
	return !now.Add(wait + g.serviceOf(c)).After(deadline)
}

// retryAfter gives a refused caller a time of its own: the first at which the
// backlog is expected to be gone, then one after another at the rate that the
// target can serve. Were all told the same time, they would return together
// and be refused together.
func (g *Gate) retryAfter(now time.Time, c *class) time.Duration {
	r := g.rateOf(now, c)
	clear := now.Add(g.waitOf(now, c, r, c.queued+1, 0).total)
	interval := returnShare * g.service.mean * window / time.Duration(r.left*r.slots)
	interval = max(interval, shortestReturn)
	if c.returnAt.Before(clear) {
		c.returnAt = clear
	}
	c.returnAt = c.returnAt.Add(interval)
	if latest := now.Add(longestReturn); c.returnAt.After(latest) {
		c.returnAt = latest
		return longestReturn/2 + g.jitter(longestReturn/2)
	}
	return c.returnAt.Sub(now) + g.jitter(interval)
}

func (g *Gate) jitter(below time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(below)))
}

// planned is a waiter in the order of service.
type planned struct {
	job   *job
	level int
	turn  uint64
}

// sweep refuses the waiters whose start or deadline has become out of reach,
// and notes when the next one will.
func (g *Gate) sweep(now time.Time) {
	g.nextRefusal = time.Time{}
	if g.queued == 0 {
		return
	}
	for _, c := range g.order {
		if c.queued > 0 {
			g.sweepClass(now, c)
		}
	}
}

func (g *Gate) sweepClass(now time.Time, c *class) {
	r := g.rateOf(now, c)
	g.overtaking.measure(g, c)
	kept := 0
	for _, p := range g.plan(c) {
		t := p.job.tenant
		wait := g.waitOf(now, c, r, g.overtaking.starts(p.job, kept, t.kept), t.kept)
		late := !g.inTime(now, c, wait.total, p.job.request.Deadline)
		tooLongToDrain := g.draining && now.Add(wait.total).After(g.drainBy)
		switch {
		case tooLongToDrain:
			g.refuseWaiter(p.job, Refuse{reason: Draining})
		case late:
			g.refuseWaiter(p.job, Refuse{reason: Unreachable, retryAfter: g.retryAfter(now, c)})
		default:
			kept++
			t.kept++
			g.noteRefusal(now, c, wait.steady, p.job.request.Deadline)
		}
	}
}

// plan lists the waiters of c in the order of service.
func (g *Gate) plan(c *class) []planned {
	g.planned = g.planned[:0]
	for _, t := range c.active {
		t.kept = 0
		for i, j := range t.queue {
			g.planned = append(g.planned, planned{job: j, level: t.inUse + i, turn: t.turn})
		}
	}
	slices.SortFunc(g.planned, func(a, b planned) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.turn, b.turn))
	})
	return g.planned
}

// noteRefusal keeps the first time at which a waiter would be refused if nothing moved until then.
func (g *Gate) noteRefusal(now time.Time, c *class, steady time.Duration, deadline time.Time) {
	latestStart := deadline.Add(-g.serviceOf(c))
	if g.draining && g.drainBy.Before(latestStart) {
		latestStart = g.drainBy
	}
	at := latestStart.Add(-steady)
	if g.inUse >= g.capacity.effective(now) {
		// The time without progress grows with now: now + (now - progress) > latestStart.
		if stalled := g.progress.Add(latestStart.Sub(g.progress) / 2); stalled.Before(at) {
			at = stalled
		}
	}
	at = at.Add(1) // the first moment after, since up to it the waiter may still start
	if g.nextRefusal.IsZero() || at.Before(g.nextRefusal) {
		g.nextRefusal = at
	}
}
