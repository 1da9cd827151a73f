package bfadmit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
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
	// busy means that no slot is free, and idle is for how long no request has started or ended.
	busy bool
	idle time.Duration
}

// rateOf weighs what goes before class c: the waiters of higher classes, and
// by their share of recent starts those who will come meanwhile. It is the
// waiting time of a priority queue after Cobham.
func (g *Gate) rateOf(now time.Time, c *class) rate {
	slots := g.capacity.effective(now)
	r := rate{left: window, slots: slots, busy: g.inUse >= slots, idle: now.Sub(g.progress)}
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
func (g *Gate) waitOf(c *class, r rate, own, tenantAhead int) wait {
	starts := own + r.before
	for _, other := range g.order {
		if other != c && other.priority == c.priority {
			starts += min(other.queued, own)
		}
	}
	// However many of higher classes wait, the minimum share comes in its turn.
	starts = min(starts*window/r.left, own*minShareEvery+len(g.order))
	line := time.Duration(starts) * g.service.mean / time.Duration(r.slots)
	var caps time.Duration
	if c.concurrency > 0 {
		caps = time.Duration(own) * g.serviceOf(c) / time.Duration(c.concurrency)
	}
	if c.tenantLimit > 0 {
		caps = max(caps, time.Duration(tenantAhead+1)*g.serviceOf(c)/time.Duration(c.tenantLimit))
	}
	if !r.busy {
		return wait{total: max(line, caps), steady: max(line, caps)}
	}
	// Starts are expected evenly from the last one on. A target that hangs
	// finishes nothing, so no average shows it: the next start is expected no
	// sooner than the time for which nothing has moved, else all who came would
	// wait to their deadlines.
	return wait{total: max(line-r.idle, r.idle, caps), steady: caps}
}

func (g *Gate) serviceOf(c *class) time.Duration {
	if c.service.mean > 0 {
		return c.service.mean
	}
	return g.service.mean
}

// retryAfter gives a refused caller a time of its own: the first at which the
// backlog is expected to be gone, then one after another at the rate that the
// target can serve. Were all told the same time, they would return together
// and be refused together.
func (g *Gate) retryAfter(now time.Time, c *class) time.Duration {
	r := g.rateOf(now, c)
	clear := now.Add(g.waitOf(c, r, c.queued+1, 0).total)
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
	if g.queued == 0 {
		return
	}
	next := time.Duration(math.MaxInt64)
	for _, c := range g.order {
		if c.queued > 0 {
			next = min(next, g.sweepClass(now, c))
		}
	}
	// The first moment after, since up to it the waiter may still start.
	g.nextRefusal = now.Add(next).Add(1)
}

// sweepClass returns how long those that it kept stay within reach if nothing moves.
func (g *Gate) sweepClass(now time.Time, c *class) time.Duration {
	r := g.rateOf(now, c)
	overtaking := overtakingOf(c)
	next := time.Duration(math.MaxInt64)
	kept := 0
	for _, p := range g.plan(c) {
		t := p.job.tenant
		wait := g.waitOf(c, r, overtaking.starts(p.job, kept, t.kept), t.kept)
		latest := p.job.request.Deadline.Sub(now) - g.serviceOf(c)
		toDrain := latest
		if g.draining {
			toDrain = g.drainBy.Sub(now)
		}
		switch {
		case wait.total > toDrain && g.draining:
			g.refuseWaiter(p.job, Refuse{reason: Draining})
		case wait.total > latest:
			g.refuseWaiter(p.job, Refuse{reason: Unreachable, retryAfter: g.retryAfter(now, c)})
		default:
			kept++
			t.kept++
			next = min(next, wait.lasts(r, min(latest, toDrain)))
		}
	}
	return next
}

// lasts is how long latest, the longest wait that will do, stays enough if nothing moves.
func (w wait) lasts(r rate, latest time.Duration) time.Duration {
	if r.busy {
		// After d more without progress, idle+d are expected and latest-d are left.
		return min(latest-w.steady, (latest-r.idle)/2)
	}
	return latest - w.steady
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
