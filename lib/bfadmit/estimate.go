package bfadmit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// retryDivisor is the part of the capacity that is planned for retries, as 1 in so many,
	// so that new requests are served meanwhile.
	retryDivisor = 2
	// maxRetryAfter bounds RetryAfter, since longer estimates are unreliable.
	maxRetryAfter = 30 * time.Second
	// minRetryInterval is the least interval between retries, for when the service time is
	// not known yet.
	minRetryInterval = time.Millisecond
)

// rate describes how fast jobs of a class start.
type rate struct {
	// before is the number of queued jobs of other classes that start first.
	before int
	// left is the share that other classes leave, in starts out of window.
	left int
	// slots is the number of slots not held by capped classes of higher priority.
	slots int
	// busy is set if no slot is free. idle is the time since a request last started or
	// ended.
	busy bool
	idle time.Duration
}

// rateOf estimates the rate of class c after Cobham's waiting time of a priority
// queue. It counts the queued jobs of higher classes, and uses their share of
// recent starts for those that will arrive meanwhile.
func (g *Gate) rateOf(now time.Time, c *class) rate {
	slots := g.capacity.effective(now)
	r := rate{left: window, slots: slots, busy: g.inUse >= slots, idle: now.Sub(g.progress)}
	for _, other := range g.order {
		switch {
		case other.priority <= c.priority:
		case other.concurrency > 0 && other.concurrency < g.capacity.slots:
			// It can't use more than its cap, however long its queue.
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

// wait is the expected time until a job starts.
type wait struct {
	total time.Duration
	// steady is the part that doesn't change with time while nothing starts or ends.
	steady time.Duration
}

// waitOf returns the wait of a job that starts with the own-th start of class c and
// has tenantAhead jobs of its tenant before it.
func (g *Gate) waitOf(c *class, r rate, own, tenantAhead int) wait {
	starts := own + r.before
	for _, other := range g.order {
		if other != c && other.priority == c.priority {
			starts += min(other.queued, own)
		}
	}
	// The minimum share of the class bounds the starts of higher classes.
	starts = min(starts*window/r.left, own*minShareEvery+len(g.order))
	queueing := time.Duration(starts) * g.service.mean / time.Duration(r.slots)
	var caps time.Duration
	if c.concurrency > 0 {
		caps = time.Duration(own) * g.serviceOf(c) / time.Duration(c.concurrency)
	}
	if c.tenantLimit > 0 {
		caps = max(caps, time.Duration(tenantAhead+1)*g.serviceOf(c)/time.Duration(c.tenantLimit))
	}
	if !r.busy {
		return wait{total: max(queueing, caps), steady: max(queueing, caps)}
	}
	// Starts are expected at even intervals after the last one. A target that hangs
	// finishes nothing and so doesn't change the averages. Therefore the next start is
	// expected no sooner than after another idle time, or else all jobs would wait until
	// their deadlines.
	return wait{total: max(queueing-r.idle, r.idle, caps), steady: caps}
}

func (g *Gate) serviceOf(c *class) time.Duration {
	if c.service.mean > 0 {
		return c.service.mean
	}
	return g.service.mean
}

// retryAfter returns the retry delay for a refused caller. Retries are scheduled
// from when the backlog is expected to be served, at intervals that the target
// can serve, since callers with equal delays would be refused together again.
func (g *Gate) retryAfter(now time.Time, c *class) time.Duration {
	r := g.rateOf(now, c)
	clear := now.Add(g.waitOf(c, r, c.queued+1, 0).total)
	interval := retryDivisor * g.service.mean * window / time.Duration(r.left*r.slots)
	interval = max(interval, minRetryInterval)
	if c.retryAt.Before(clear) {
		c.retryAt = clear
	}
	c.retryAt = c.retryAt.Add(interval)
	if latest := now.Add(maxRetryAfter); c.retryAt.After(latest) {
		c.retryAt = latest
		return maxRetryAfter/2 + g.jitter(maxRetryAfter/2)
	}
	return c.retryAt.Sub(now) + g.jitter(interval)
}

func (g *Gate) jitter(below time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(below)))
}

// planned is a queued job with its sort key in the order of service.
type planned struct {
	job   *job
	level int
	turn  uint64
}

// sweep refuses the queued jobs that are expected to miss their deadline or the end of
// draining, and sets nextRefusal.
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
	// One nanosecond later, since the job may still start at that time.
	g.nextRefusal = now.Add(next).Add(1)
}

// sweepClass returns how long the jobs that it kept can still be in time while nothing
// starts or ends.
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
			toDrain = g.drainUntil.Sub(now)
		}
		switch {
		case wait.total > toDrain && g.draining:
			g.refuseWaiter(p.job, Refuse{reason: Draining})
		case wait.total > latest:
			g.refuseWaiter(p.job, Refuse{reason: DeadlineUnreachable, retryAfter: g.retryAfter(now, c)})
		default:
			kept++
			t.kept++
			next = min(next, wait.validFor(r, min(latest, toDrain)))
		}
	}
	return next
}

// validFor returns how long the wait stays within latest while nothing starts or ends.
func (w wait) validFor(r rate, latest time.Duration) time.Duration {
	if r.busy {
		// After a time d without progress, a wait of idle+d is expected and latest-d is left.
		return min(latest-w.steady, (latest-r.idle)/2)
	}
	return latest - w.steady
}

// plan returns the queued jobs of c in the order of service.
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
