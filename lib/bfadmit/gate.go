package bfadmit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minShareEvery is the minimum share of a class with a queue: one start in so many.
	minShareEvery = 10
	// admitMargin times the expected wait must fit before the deadline of a new request.
	// The wait is a mean, so most of those queued with less margin would be refused later.
	admitMargin = 2
	// drainGrace is how long after Drain a queued request may still start, since the
	// target accepts no new work after a few seconds.
	drainGrace = 2 * time.Second
	// queuePerSlot is the default bound of the queue, in requests per slot.
	queuePerSlot = 256
	// maxClasses bounds the idle classes kept for their measured service times.
	maxClasses = 256
)

// Config configures a Gate.
type Config struct {
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Queue bounds the queued requests of all classes; 0 means queuePerSlot for each slot.
	Queue int
	// ColdSince and ColdStart are the start and the length of the period in which the gate
	// grows from one slot to all.
	ColdSince time.Time
	ColdStart time.Duration
	// Seed seeds the random spread of RetryAfter.
	Seed uint64
}

// Gate admits requests to one target.
//
// It is not safe for concurrent use. The slices of notices that its methods return
// are valid until the next call.
type Gate struct {
	capacity   capacity
	maxQueue   int
	discipline discipline
	margin     time.Duration
	random     *rand.Rand

	jobs    map[string]*job
	classes map[string]*class
	// order holds the classes by priority, the highest first, then by name.
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
	drainUntil  time.Time

	// Buffers that are reused between calls.
	notices []Notice
	planned []planned
}

// NewGate returns an empty gate.
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

// Offer decides on a new request. The notices are for other requests that started or were
// refused meanwhile.
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
		return Refuse{reason: DeadlineUnreachable, retryAfter: g.retryAfter(now, c)}, g.notices
	}
	t := c.tenant(request.Tenant, g.turn+1)
	j := &job{request: request, class: c, tenant: t, level: t.inUse + len(t.queue)}
	if g.inUse < g.capacity.effective(now) && c.hasRoom(t) {
		// Start without regard to the estimate: only finished requests can correct an
		// estimate that has grown longer than every deadline.
		g.jobs[request.ID] = j
		g.run(now, j)
		g.sweep(now) // others wait longer now
		return Run{}, g.notices
	}
	verdict := g.queue(now, j)
	c.removeIfEmpty(t)
	return verdict, g.notices
}

// settleIf calls settle if changed limits or the passage of time require it.
func (g *Gate) settleIf(now time.Time, limitsChanged bool) {
	due := g.inUse < g.capacity.effective(now) || !now.Before(g.nextRefusal)
	if g.queued > 0 && (limitsChanged || due) {
		g.settle(now)
	}
}

// queue decides on a request that can't start at once.
func (g *Gate) queue(now time.Time, j *job) Verdict {
	c, request := j.class, j.request
	place := g.discipline.place(j.tenant, request.Deadline)
	overtaking := overtakingOf(c)
	own := overtaking.starts(j, c.ahead(j.tenant, place), place)
	wait := g.waitOf(c, g.rateOf(now, c), own, place)
	if wait.total*g.margin+g.serviceOf(c) > request.Deadline.Sub(now) {
		return Refuse{reason: DeadlineUnreachable, retryAfter: g.retryAfter(now, c)}
	}
	if !g.makeRoom(now, j) {
		return Refuse{reason: QueueFull, retryAfter: g.retryAfter(now, c)}
	}
	g.turn++ // makes the turn of a new tenant unique
	g.jobs[request.ID] = j
	// makeRoom doesn't change place, since it never displaces a job of the same tenant.
	c.enqueue(j, place)
	g.queued++
	g.settle(now)
	if g.jobs[request.ID] == j {
		return Wait{}
	}
	return g.takeNotice(request.ID)
}

// takeNotice removes the notice for a request that was not yet answered, and returns its
// verdict.
func (g *Gate) takeNotice(id string) Verdict {
	at := slices.IndexFunc(g.notices, func(n Notice) bool { return n.id == id })
	verdict := g.notices[at].verdict
	g.notices = slices.Delete(g.notices, at, at+1)
	return verdict
}

// makeRoom displaces a queued job if the queue is full, and reports whether j may wait.
//
// If the class is full, the last job of the tenant with the longest queue is displaced by
// a tenant with at least two fewer, so that one tenant's flood affects that tenant only.
// If the gate is full, a job of the lowest class is displaced by one of a higher class.
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
	j.class.removeIfEmpty(j.tenant)
	g.queued--
	delete(g.jobs, j.request.ID)
}

// Finish frees the slot of a running request. It returns an UnknownRequestError if no
// request with that ID is running.
func (g *Gate) Finish(now time.Time, id string, outcome Outcome) ([]Notice, error) {
	g.notices = g.notices[:0]
	j := g.jobs[id]
	if j == nil || !j.running {
		return nil, &UnknownRequestError{ID: id}
	}
	g.recordOutcome(now, j, outcome)
	delete(g.jobs, id)
	g.inUse--
	j.class.inUse--
	j.tenant.inUse--
	j.class.removeIfEmpty(j.tenant)
	g.progress = now
	g.settle(now)
	return g.notices, nil
}

// recordOutcome updates the capacity and the service times from the outcome of a request.
func (g *Gate) recordOutcome(now time.Time, j *job, outcome Outcome) {
	ran := now.Sub(j.startedAt)
	switch outcome {
	case Done:
		g.capacity.served()
		g.service.add(ran)
		j.class.service.add(ran)
	case Abandoned:
		// The request would have run for longer. Ignoring it would hide a target so slow
		// that all its requests are abandoned.
		if ran > g.serviceOf(j.class) {
			g.service.add(ran)
			j.class.service.add(ran)
		}
	case Shed:
		g.capacity.shed(now, g.inUse, g.service.mean)
	case Unused:
	}
}

// Cancel removes a queued request; false means that none with that ID is queued.
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

// Advance starts and refuses the requests that are due by time alone. NextWake returns when
// to call it.
func (g *Gate) Advance(now time.Time) []Notice {
	g.notices = g.notices[:0]
	g.settle(now)
	return g.notices
}

// NextWake returns when Advance should be called next; false means that no call is needed.
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

// Drain refuses all new requests from now on.
//
// A queued request that is expected to start within drainGrace keeps its place. The
// others are refused at once, so that another target can still serve them in time.
func (g *Gate) Drain(now time.Time) []Notice {
	g.notices = g.notices[:0]
	if !g.draining {
		g.draining, g.drainUntil = true, now.Add(drainGrace)
	}
	g.settle(now)
	return g.notices
}

// Resize sets the number of slots that the target announced, and resets the limit to it.
func (g *Gate) Resize(now time.Time, slots int) []Notice {
	g.notices = g.notices[:0]
	g.capacity.resize(slots)
	g.settle(now)
	return g.notices
}

// Idle reports whether no request is running or queued.
func (g *Gate) Idle() bool { return len(g.jobs) == 0 }

// Load returns the load of the target.
func (g *Gate) Load(now time.Time) Load {
	return Load{inUse: g.inUse, queued: g.queued, slots: g.capacity.effective(now), serviceTime: g.service.mean}
}

// settle starts the queued jobs that may start and refuses those that can't be in time.
//
// After it, no queued job could use a free slot, and none is expected to be late.
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

// next returns the job to start, or nil if none may start. It counts the other classes
// that could have started one as passed.
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
	g.history.add(startRecord{class: j.class, tenant: j.tenant, level: min(j.level, maxLevel)})
}

// classOf returns the class of the request with the limits in the request. Changed reports
// whether these differ from before.
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

// dropIdleClasses bounds the memory for classes that the configuration no longer has.
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
