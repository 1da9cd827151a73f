package bfadmit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minShareEvery is the minimum share of a class that waits: one start in so many.
	minShareEvery = 10
	// admitMargin times the expected wait must fit before the deadline of one who
	// comes, though once is enough to stay: the wait is a mean, and of those let in
	// at its very edge most would be refused again after they have waited.
	admitMargin = 2
	// drainGrace is how long after Drain a waiter may still start: a target that
	// leaves gets no new work after a few seconds.
	drainGrace = 2 * time.Second
	// queuePerSlot bounds all waiters of a gate whose Config gives no bound.
	queuePerSlot = 256
	// maxClasses bounds the idle classes kept for their measured service times.
	maxClasses = 256
)

// Config is what a gate is made from.
type Config struct {
	// Slots is how many requests the target runs at once.
	Slots int
	// Queue is how many requests of all classes may wait; 0 means queuePerSlot for each slot.
	Queue int
	// ColdSince and ColdStart give the time over which the gate grows from one slot to all.
	ColdSince time.Time
	ColdStart time.Duration
	// Seed is of the random spread of RetryAfter.
	Seed uint64
}

// Gate is the exact admission to one target.
//
// It is not safe for use by several goroutines. The slices of notices that its
// methods return are valid until the next call.
type Gate struct {
	capacity   capacity
	maxQueue   int
	discipline discipline
	margin     time.Duration
	random     *rand.Rand

	jobs    map[string]*job
	classes map[string]*class
	// order is the classes by priority, the highest first, then by name.
	order   []*class
	inUse   int
	queued  int
	turn    uint64
	history history

	service meter
	// progress is when a request last started or ended.
	progress    time.Time
	nextRefusal time.Time
	draining    bool
	drainBy     time.Time

	// What follows is reused from call to call.
	notices []Notice
	planned []planned
}

// NewGate makes an empty gate.
func NewGate(config Config) *Gate {
	g := &Gate{
		capacity: newCapacity(config.Slots, config.ColdSince, config.ColdStart),
		maxQueue: config.Queue,
		margin:   admitMargin,
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
		jobs:     map[string]*job{},
		classes:  map[string]*class{},
	}
	if g.maxQueue == 0 {
		g.maxQueue = queuePerSlot * config.Slots
	}
	return g
}

// Offer decides on a new request; the notices are for others that it displaced or let start.
func (g *Gate) Offer(now time.Time, request Request) (Verdict, []Notice) {
	g.notices = g.notices[:0]
	if g.jobs[request.ID] != nil {
		return Refuse{reason: Duplicate}, nil
	}
	if g.draining {
		g.settleIf(now, false)
		return Refuse{reason: Draining}, g.notices
	}
	c, changed := g.classOf(request)
	g.settleIf(now, changed)
	if !now.Before(request.Deadline) {
		return Refuse{reason: Unreachable, retryAfter: g.retryAfter(now, c)}, g.notices
	}
	t := c.tenant(request.Tenant, g.turn+1)
	j := &job{request: request, class: c, tenant: t, level: t.inUse + len(t.queue)}
	if g.inUse < g.capacity.effective(now) && c.hasRoom(t) {
		// Whatever the estimate says: only what runs can correct an estimate that
		// has grown longer than every deadline.
		g.jobs[request.ID] = j
		g.run(now, j)
		g.sweep(now) // others wait longer now
		return Run{}, g.notices
	}
	verdict := g.queue(now, j)
	c.forget(t)
	return verdict, g.notices
}

// settleIf settles if the limits or time alone have changed something since the last settle.
func (g *Gate) settleIf(now time.Time, limitsChanged bool) {
	due := g.inUse < g.capacity.effective(now) || !now.Before(g.nextRefusal)
	if g.queued > 0 && (limitsChanged || due) {
		g.settle(now)
	}
}

// queue decides on a request that can't run at once.
func (g *Gate) queue(now time.Time, j *job) Verdict {
	c, request := j.class, j.request
	place := g.discipline.place(j.tenant, request.Deadline)
	overtaking := overtakingOf(c)
	own := overtaking.starts(j, c.ahead(j.tenant, place), place)
	wait := g.waitOf(c, g.rateOf(now, c), own, place)
	if wait.total*g.margin+g.serviceOf(c) > request.Deadline.Sub(now) {
		return Refuse{reason: Unreachable, retryAfter: g.retryAfter(now, c)}
	}
	if !g.makeRoom(now, j) {
		return Refuse{reason: QueueFull, retryAfter: g.retryAfter(now, c)}
	}
	g.turn++ // a new tenant's turn is now its own
	g.jobs[request.ID] = j
	// The place may have moved: a tenant's own waiter can't be displaced by it.
	c.enqueue(j, place)
	g.queued++
	g.settle(now)
	if g.jobs[request.ID] == j {
		return Wait{}
	}
	return g.takeNotice(request.ID)
}

// takeNotice makes the notice to a request its verdict, as the request was not yet told to wait.
func (g *Gate) takeNotice(id string) Verdict {
	at := slices.IndexFunc(g.notices, func(n Notice) bool { return n.id == id })
	verdict := g.notices[at].verdict
	g.notices = slices.Delete(g.notices, at, at+1)
	return verdict
}

// makeRoom displaces a waiter where as many wait as may, and reports whether j may wait.
//
// In a full class the newest of the tenant with the most waiters goes, for a
// tenant with at least two fewer: one tenant's flood costs that tenant only. In
// a full gate a waiter of the lowest class goes, for a higher one.
func (g *Gate) makeRoom(now time.Time, j *job) bool {
	if j.class.queued >= j.request.Queue {
		victim, most := j.class.longest()
		if j.request.Queue == 0 || victim == nil || most < len(j.tenant.queue)+2 {
			return false
		}
		g.displace(now, victim)
	}
	if g.queued < g.maxQueue {
		return true
	}
	for _, c := range slices.Backward(g.order) {
		if c.queued > 0 && c.priority < j.class.priority {
			victim, _ := c.longest()
			g.displace(now, victim)
			return true
		}
	}
	return false
}

func (g *Gate) displace(now time.Time, victim *job) {
	g.refuseWaiter(victim, Refuse{reason: Displaced, retryAfter: g.retryAfter(now, victim.class)})
}

func (g *Gate) refuseWaiter(j *job, refuse Refuse) {
	g.removeWaiter(j)
	g.notices = append(g.notices, Notice{id: j.request.ID, verdict: refuse})
}

func (g *Gate) removeWaiter(j *job) {
	j.class.dequeue(j)
	j.class.forget(j.tenant)
	g.queued--
	delete(g.jobs, j.request.ID)
}

// Finish gives back the slot of a request that ran.
func (g *Gate) Finish(now time.Time, id string, outcome Outcome) ([]Notice, error) {
	g.notices = g.notices[:0]
	j := g.jobs[id]
	if j == nil || !j.running {
		return nil, &UnknownRequestError{ID: id}
	}
	g.learn(now, j, outcome)
	delete(g.jobs, id)
	g.inUse--
	j.class.inUse--
	j.tenant.inUse--
	j.class.forget(j.tenant)
	g.progress = now
	g.settle(now)
	return g.notices, nil
}

// learn takes from the end of a request what it says about the target.
func (g *Gate) learn(now time.Time, j *job, outcome Outcome) {
	ran := now.Sub(j.startedAt)
	switch outcome {
	case Done:
		g.capacity.served()
		g.service.add(ran)
		j.class.service.add(ran)
	case Abandoned:
		// It would have run longer than this; to leave it out would hide a target
		// so slow that nobody waits for its answers.
		if ran > g.serviceOf(j.class) {
			g.service.add(ran)
			j.class.service.add(ran)
		}
	case Shed:
		g.capacity.shed(now, g.inUse, g.service.mean)
	case Unused:
	}
}

// Cancel removes a waiter; false means that there is none of that ID.
func (g *Gate) Cancel(now time.Time, id string) ([]Notice, bool) {
	g.notices = g.notices[:0]
	j := g.jobs[id]
	if j == nil || j.running {
		return nil, false
	}
	g.removeWaiter(j)
	g.settle(now)
	return g.notices, true
}

// Advance does what became due by time alone; NextWake says when.
func (g *Gate) Advance(now time.Time) []Notice {
	g.notices = g.notices[:0]
	g.settle(now)
	return g.notices
}

// NextWake is when Advance should be called next; false means that only other calls change anything.
func (g *Gate) NextWake(now time.Time) (time.Time, bool) {
	if g.queued == 0 {
		return time.Time{}, false
	}
	next := g.nextRefusal
	if ramp, growing := g.capacity.nextRamp(now); growing && ramp.Before(next) {
		next = ramp
	}
	return next, true
}

// Drain refuses all new work from now on.
//
// A waiter that is expected to start within drainGrace keeps its place, as it
// has waited and elsewhere would wait anew; the others are refused at once, so
// that another target can take them in time.
func (g *Gate) Drain(now time.Time) []Notice {
	g.notices = g.notices[:0]
	if !g.draining {
		g.draining, g.drainBy = true, now.Add(drainGrace)
	}
	g.settle(now)
	return g.notices
}

// Resize takes another number of slots that the target announced.
func (g *Gate) Resize(now time.Time, slots int) []Notice {
	g.notices = g.notices[:0]
	g.capacity.resize(slots)
	g.settle(now)
	return g.notices
}

// Idle reports whether nothing runs or waits.
func (g *Gate) Idle() bool { return len(g.jobs) == 0 }

// Load is how full the target is.
func (g *Gate) Load(now time.Time) Load {
	return Load{inUse: g.inUse, queued: g.queued, slots: g.capacity.effective(now), serviceTime: g.service.mean}
}

// settle starts whoever may start and refuses whoever can't any more.
//
// After it no slot is free that a waiter may take, and no waiter is left that
// is expected to be late.
func (g *Gate) settle(now time.Time) {
	for g.inUse < g.capacity.effective(now) {
		j := g.next()
		if j == nil {
			break
		}
		j.class.dequeue(j)
		g.queued--
		g.run(now, j)
		g.notices = append(g.notices, Notice{id: j.request.ID, verdict: Run{}})
	}
	g.sweep(now)
}

// next is the waiter to start, nil when none may; the other classes that could have started are passed.
func (g *Gate) next() *job {
	var best *job
	for _, c := range g.order {
		j := c.next()
		if j == nil {
			continue
		}
		c.passed++
		if best == nil || c.goesBefore(best.class) {
			best = j
		}
	}
	if best != nil {
		best.class.passed = 0
	}
	return best
}

func (g *Gate) run(now time.Time, j *job) {
	g.turn++
	j.running, j.startedAt = true, now
	j.tenant.turn = g.turn
	j.tenant.inUse++
	j.class.inUse++
	g.inUse++
	g.progress = now
	g.history.add(begun{class: j.class, tenant: j.tenant, level: min(j.level, maxLevel)})
}

// classOf is the request's class under the request's limits; changed means that they are other ones than before.
func (g *Gate) classOf(request Request) (c *class, changed bool) {
	c = g.classes[request.Class]
	if c == nil {
		g.dropIdleClasses()
		c = &class{name: request.Class, tenants: map[string]*tenant{}, priority: request.Priority}
		g.classes[c.name] = c
		g.order = append(g.order, c)
		g.sortOrder()
	}
	same := c.priority == request.Priority && c.concurrency == request.Concurrency && c.tenantLimit == request.TenantLimit
	if same {
		return c, false
	}
	c.priority, c.concurrency, c.tenantLimit = request.Priority, request.Concurrency, request.TenantLimit
	g.sortOrder()
	return c, true
}

func (g *Gate) sortOrder() {
	slices.SortFunc(g.order, func(a, b *class) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.name, b.name))
	})
}

// dropIdleClasses bounds the gate's memory when classes come and go with the configuration.
func (g *Gate) dropIdleClasses() {
	if len(g.order) < maxClasses {
		return
	}
	g.order = slices.DeleteFunc(g.order, func(c *class) bool {
		idle := c.inUse == 0 && c.queued == 0 && c.recent == 0
		if idle {
			delete(g.classes, c.name)
		}
		return idle
	})
}
