package bfadmit

import (
	"slices"
	"time"
)

// job is a running or queued request.
type job struct {
	request Request
	class   *class
	tenant  *tenant
	// level is the number of running and queued requests that its tenant had on arrival.
	level     int
	running   bool
	startedAt time.Time
}

// tenant holds one tenant's requests in one class. It is removed with the last of them.
type tenant struct {
	name  string
	inUse int
	// turn is the gate's turn at the tenant's last start. Of two tenants with equal slots
	// the least recently served is first. A new tenant is last, so that there is no gain
	// in leaving and returning.
	turn  uint64
	queue []*job
	// kept is the number of jobs in queue that the current sweep has kept so far.
	kept int
	// levels are the levels of its starts in the gate's window, the oldest first.
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
	// passed is the number of consecutive times that another class was started although
	// this one could have been.
	passed int
	// recent is the number of its starts in the gate's window, and levels that by level.
	recent  int
	levels  [maxLevel + 1]int
	service meter
	tenants map[string]*tenant
	// active are the tenants with queued requests.
	active []*tenant
	// retryAt is the retry time that was last given to a refused caller.
	retryAt time.Time
}

// discipline is the order of one tenant's queue.
type discipline int

const (
	firstIn discipline = iota
	lastIn
	earliestDeadline
)

// place returns the index in t's queue at which a request with a deadline is inserted.
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

// tenant returns the tenant with a name, which it creates with turn if there is none.
func (c *class) tenant(name string, turn uint64) *tenant {
	t := c.tenants[name]
	if t == nil {
		t = &tenant{name: name, turn: turn}
		c.tenants[name] = t
	}
	return t
}

func (c *class) removeIfEmpty(t *tenant) {
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

// next returns the job to start next, or nil if none may start.
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

// before is the order of tenants: fewer slots first, then the least recently served.
func before(level int, turn uint64, otherLevel int, otherTurn uint64) bool {
	return level < otherLevel || level == otherLevel && turn < otherTurn
}

// ahead returns the number of queued jobs that would start before one at index place of
// t's queue, if nothing finishes meanwhile: each start adds a slot to its tenant.
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

// longest returns the last job in the longest queue of any tenant, and that queue's length.
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

// isStarved reports whether the class is due for its minimum share.
func (c *class) isStarved() bool { return c.passed >= minShareEvery }

// goesBefore is the order of the classes that may start a job.
func (c *class) goesBefore(other *class) bool {
	if c.isStarved() != other.isStarved() {
		return c.isStarved()
	}
	if !c.isStarved() && c.priority != other.priority {
		return c.priority > other.priority
	}
	return c.passed > other.passed
}
