package bfslot

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Request is what the queue needs to know of a request.
type Request struct {
	// Class labels requests of one kind; their running times are learned together.
	Class string
	// Nested says that a target makes the request while it runs another one.
	Nested bool
	// Rank orders requests that wait; 0 goes first.
	Rank int
	// Late says that the request is expected to miss its objective.
	Late bool
	// Patience is how long the request may wait for a slot.
	Patience time.Duration
}

// FullError reports a request that got no slot.
type FullError struct {
	// RetryAfter is when a slot is expected to be free.
	RetryAfter time.Duration
}

// Error gives the time to come back.
func (e *FullError) Error() string { return fmt.Sprintf("no slot, come back in %v", e.RetryAfter) }

// Queue decides who gets the slots of one target; it is not safe for concurrent use.
type Queue struct {
	slots   int
	used    int
	waiting []*Ticket
	arrived uint64
	// running is the mean time that requests of a class hold a slot, held that of all.
	running map[string]time.Duration
	held    time.Duration
}

// Ticket is a request's place among those that wait.
type Ticket struct {
	request Request
	arrived uint64
	// expected is how long the request is expected to hold a slot.
	expected time.Duration
}

// NewQueue makes a queue for a number of slots.
func NewQueue(slots int) *Queue { return &Queue{slots: slots, running: map[string]time.Duration{}} }

// Load is how many slots are in use, requests that wait included, and how many there are.
func (q *Queue) Load() (used, slots int) { return q.used + len(q.waiting), q.slots }

// Running is how long a request of a class holds a slot in the mean, 0 where none has.
func (q *Queue) Running(class string) time.Duration { return q.running[class] }

// Enter gives the request a slot, or a ticket where it has to wait. Its error is FullError.
//
// A request that would wait longer than it may is refused at once, by what drains
// until its turn. One that waited in vain would come back later and have kept others
// from their turn; those refused at once can be served elsewhere in time.
func (q *Queue) Enter(request Request) (*Ticket, error) {
	if q.used < q.slots-q.reserve(request) {
		q.used++
		return nil, nil
	}
	if request.Patience <= 0 || request.Late || q.slots == 0 {
		return nil, &FullError{RetryAfter: q.drain(len(q.waiting))}
	}
	q.arrived++
	t := &Ticket{request: request, arrived: q.arrived, expected: q.expected(request.Class)}
	at, _ := slices.BinarySearchFunc(q.waiting, t, order)
	if wait := q.drain(at); !request.Nested && wait > request.Patience {
		return nil, &FullError{RetryAfter: wait}
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	return t, nil
}

// lateReserve is the part of the slots that late requests leave free. In a fleet
// that has more to do than it can, they take each slot that comes free as often as
// fresh ones do, and make those late in turn; the fleet stays late for as long as
// callers go on asking.
const lateReserve = 0.15

// reserve is how many slots the request leaves free.
func (q *Queue) reserve(request Request) int {
	if !request.Late {
		return 0
	}
	return int(math.Ceil(lateReserve * float64(q.slots)))
}

// order puts nested calls first, then higher ranks. Among equal ranks the one that
// is expected to hold a slot for the shortest time goes first: where not all can
// be served, most are so.
func order(a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(nestedFirst(a), nestedFirst(b)),
		cmp.Compare(a.request.Rank, b.request.Rank),
		cmp.Compare(a.expected, b.expected),
		cmp.Compare(a.arrived, b.arrived),
	)
}

func nestedFirst(t *Ticket) int {
	if t.request.Nested {
		return 0
	}
	return 1
}

// Leave ends a wait, and reports whether the request was still waiting.
func (q *Queue) Leave(t *Ticket) bool {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Full is the refusal of a request that waited for as long as it may.
func (q *Queue) Full() *FullError { return &FullError{RetryAfter: q.drain(len(q.waiting))} }

const (
	// usualRunning stands for a running time as long as none was measured.
	usualRunning = 100 * time.Millisecond
	// learnShare is how much one request counts in the mean of its class: about the
	// last ten decide. heldShare is that in the mean of all, whose classes differ.
	learnShare = 10
	heldShare  = 30
)

// expected is how long a request of the class is expected to hold a slot.
func (q *Queue) expected(class string) time.Duration {
	if mean, known := q.running[class]; known {
		return mean
	}
	return usualRunning
}

// drain is how long it takes until one more request gets a slot with so many ahead of it.
func (q *Queue) drain(ahead int) time.Duration {
	held := cmp.Or(q.held, usualRunning)
	return held * time.Duration(1+ahead) / time.Duration(max(q.slots, 1))
}

// Resize sets the number of slots, and gives those that wait what is free.
func (q *Queue) Resize(slots int) []*Ticket {
	q.slots = slots
	return q.admit()
}

// Release takes back the slot of a request of a class that held it for a time, and
// gives it to who is first.
func (q *Queue) Release(class string, held time.Duration) []*Ticket {
	q.running[class] = learn(q.running[class], held, learnShare)
	q.held = learn(q.held, held, heldShare)
	q.used--
	return q.admit()
}

// learn counts one time in a mean, 0 before the first.
func learn(mean, value time.Duration, share time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + (value-mean)/share
}

// admit gives free slots to those that wait.
func (q *Queue) admit() []*Ticket {
	free := min(max(q.slots-q.used, 0), len(q.waiting))
	admitted := slices.Clone(q.waiting[:free])
	q.waiting = slices.Delete(q.waiting, 0, free)
	q.used += free
	return admitted
}
