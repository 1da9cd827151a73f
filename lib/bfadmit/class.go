package bfadmit

import (
	"slices"
	"time"
)

// job is one request that runs or waits.
type job struct {
	request Request
	class   *class
	tenant  *tenant
	// level is how many slots and waiters its tenant had when it came.
	level     int
	running   bool
	startedAt time.Time
}

// tenant is one tenant's requests in one class; it exists while there are any.
type tenant struct {
	name  string
	inUse int
	// turn grows with each start: of two tenants with as many slots the one
	// served longer ago is first. A new tenant comes last, so that nobody gains
	// by leaving and returning.
	turn  uint64
	queue []*job
	// kept counts those of queue that a sweep has kept so far.
	kept int
	// levels are those of its starts in the gate's window, the oldest first.
	levels []int
}

// class is the state of one class at the gate.
type class struct {
	name        string
	priority    int
	concurrency int
	tenantLimit int
	inUse       int
	queued      int
	// passed counts the starts of other classes since this one could have started last.
	passed int
	// recent counts its starts in the gate's window, and levels those of each level.
	recent  int
	levels  [maxLevel + 1]int
	service meter
	tenants map[string]*tenant
	// active are the tenants with waiters.
	active []*tenant
	// returnAt is the time that was last given to a refused caller to come back.
	returnAt time.Time
}

// discipline is the order in which one tenant's requests wait.
type discipline int

const (
	firstIn discipline = iota
	lastIn
	earliestDeadline
)

// place is the index in t's queue at which a request of deadline would wait.
func (d discipline) place(t *tenant, deadline time.Time) int {
	switch d {
	case lastIn:
		return 0
	case earliestDeadline:
		at := len(t.queue)
		for at > 0 && t.queue[at-1].request.Deadline.After(deadline) {
			at--
		}
		return at
	case firstIn:
	}
	return len(t.queue)
}

// tenant returns the tenant of that name, made with turn if there is none.
func (c *class) tenant(name string, turn uint64) *tenant {
	t := c.tenants[name]
	if t == nil {
		t = &tenant{name: name, turn: turn}
		c.tenants[name] = t
	}
	return t
}

func (c *class) forget(t *tenant) {
	if t.inUse == 0 && len(t.queue) == 0 {
		delete(c.tenants, t.name)
	}
}

func (c *class) enqueue(j *job, at int) {
	if len(j.tenant.queue) == 0 {
		c.active = append(c.active, j.tenant)
	}
	j.tenant.queue = slices.Insert(j.tenant.queue, at, j)
	c.queued++
}

func (c *class) dequeue(j *job) {
	t := j.tenant
	t.queue = slices.Delete(t.queue, slices.Index(t.queue, j), slices.Index(t.queue, j)+1)
	if len(t.queue) == 0 {
		at := slices.Index(c.active, t)
		last := len(c.active) - 1
		c.active[at] = c.active[last]
		c.active = c.active[:last]
	}
	if c.queued--; c.queued == 0 {
		c.passed = 0
	}
}

func (c *class) hasRoom(t *tenant) bool {
	return (c.concurrency == 0 || c.inUse < c.concurrency) && (c.tenantLimit == 0 || t.inUse < c.tenantLimit)
}

// next is the waiter to start first, nil when none may start.
func (c *class) next() *job {
	var best *tenant
	for _, t := range c.active {
		if c.hasRoom(t) && (best == nil || before(t.inUse, t.turn, best.inUse, best.turn)) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return best.queue[0]
}

// before is the order of service: fewer slots first, then the longer unserved.
func before(level int, turn uint64, otherLevel int, otherTurn uint64) bool {
	return level < otherLevel || level == otherLevel && turn < otherTurn
}

// ahead counts the waiters that would start before one at index place of t's
// queue, when each start counts as one slot more for its tenant.
func (c *class) ahead(t *tenant, place int) int {
	count := place
	for _, other := range c.active {
		if other == t {
			continue
		}
		earlier := t.inUse + place - other.inUse
		if other.turn < t.turn {
			earlier++
		}
		count += min(max(0, earlier), len(other.queue))
	}
	return count
}

// longest is the newest waiter of the tenant with the most, and how many that is.
func (c *class) longest() (*job, int) {
	var most *tenant
	for _, t := range c.active {
		if most == nil || len(t.queue) > len(most.queue) || len(t.queue) == len(most.queue) && t.turn > most.turn {
			most = t
		}
	}
	if most == nil {
		return nil, 0
	}
	return most.queue[len(most.queue)-1], len(most.queue)
}

// starves reports whether the class is due its minimum share.
func (c *class) starves() bool { return c.passed >= minShareEvery }

// goesBefore is the order between classes that may start.
func (c *class) goesBefore(other *class) bool {
	if c.starves() != other.starves() {
		return c.starves()
	}
	if !c.starves() && c.priority != other.priority {
		return c.priority > other.priority
	}
	return c.passed > other.passed
}
