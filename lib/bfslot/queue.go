package bfslot

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Request holds the properties of a request that the queue uses.
type Request struct {
	// Class groups requests whose slot hold times are averaged together.
	Class string
	// Nested is set for a request that a target makes while it runs another one.
	Nested bool
	// Rank is the priority of a waiting request; 0 goes first.
	Rank int
	// Late is set for a request that is expected to miss its latency objective.
	Late bool
	// MaxWait is how long the request may wait for a slot.
	MaxWait time.Duration
}

// FullError is returned for a request that got no slot.
type FullError struct {
	// RetryAfter is the expected time until a slot is free.
	RetryAfter time.Duration
}

// Error returns the message with the time to retry after.
func (e *FullError) Error() string { return fmt.Sprintf("no free slot, retry after %v", e.RetryAfter) }

// Queue assigns the slots of one target to requests. It is not safe for concurrent use.
type Queue struct {
	slots   int
	used    int
	waiting []*Ticket
	arrived uint64
	// meanHoldByClass and meanHold are moving averages of how long requests hold a
	// slot: those of each class, and all of them.
	meanHoldByClass map[string]time.Duration
	meanHold        time.Duration
}

// Ticket represents a waiting request.
type Ticket struct {
	request Request
	arrived uint64
	// expected is the time for which the request is expected to hold a slot.
	expected time.Duration
}

// NewQueue returns an empty queue for a number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, meanHoldByClass: map[string]time.Duration{}}
}

// Load returns the number of running and waiting requests, and the number of slots.
func (q *Queue) Load() (used, slots int) { return q.used + len(q.waiting), q.slots }

// MeanHold returns the moving average of how long requests of a class hold a slot, or 0
// before the first one has released its slot.
func (q *Queue) MeanHold(class string) time.Duration { return q.meanHoldByClass[class] }

// OverallMeanHold returns how long a request of any class is expected to hold a slot.
func (q *Queue) OverallMeanHold() time.Duration { return cmp.Or(q.meanHold, defaultHold) }

// Enter gives the request a slot and returns nil, or returns a ticket if it has to wait.
// Its error is FullError.
//
// A request whose expected wait exceeds its limit is refused at once, so that another
// target can still serve it in time. Waiting until the limit would delay its retry and
// the requests behind it.
func (q *Queue) Enter(request Request) (*Ticket, error) {
	if q.used < q.slots-q.reserve(request) {
		q.used++
		return nil, nil
	}
	if request.MaxWait <= 0 || request.Late || q.slots == 0 {
		return nil, &FullError{RetryAfter: q.expectedWait(len(q.waiting))}
	}
	q.arrived++
	t := &Ticket{request: request, arrived: q.arrived, expected: q.expectedHold(request.Class)}
	at, _ := slices.BinarySearchFunc(q.waiting, t, compareTickets)
	if wait := q.expectedWait(at); !request.Nested && wait > request.MaxWait {
		return nil, &FullError{RetryAfter: wait}
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	return t, nil
}

// lateReserve is the share of the slots that late requests must leave free. Without it,
// late requests in an overloaded fleet take slots from new requests and make those
// late too, and the fleet doesn't recover while the load lasts.
const lateReserve = 0.15

// reserve returns the number of slots that the request must leave free.
func (q *Queue) reserve(request Request) int {
	if !request.Late {
		return 0
	}
	return int(math.Ceil(lateReserve * float64(q.slots)))
}

// compareTickets orders waiting requests: nested calls first, then by rank. Within a
// rank the shortest expected hold time goes first, which serves the most requests when
// not all can be served.
func compareTickets(a, b *Ticket) int {
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

// Leave removes a waiting request, and reports whether it was still waiting.
func (q *Queue) Leave(t *Ticket) bool {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Full returns the error for a request whose wait timed out.
func (q *Queue) Full() *FullError { return &FullError{RetryAfter: q.expectedWait(len(q.waiting))} }

const (
	// defaultHold is the expected hold time while there are no samples.
	defaultHold = 100 * time.Millisecond
	// classWindow and overallWindow are the numbers of requests over which the moving
	// averages are taken; the average over all classes varies more and needs more.
	classWindow   = 10
	overallWindow = 30
	// maxClasses bounds the classes: routes come and go with the configuration.
	maxClasses = 1 << 14
)

// expectedHold returns how long a request of the class is expected to hold a slot.
func (q *Queue) expectedHold(class string) time.Duration {
	if mean, known := q.meanHoldByClass[class]; known {
		return mean
	}
	return defaultHold
}

// expectedWait returns the time until a request with that many ahead of it gets a slot.
func (q *Queue) expectedWait(ahead int) time.Duration {
	return q.OverallMeanHold() * time.Duration(1+ahead) / time.Duration(max(q.slots, 1))
}

// Resize sets the number of slots, and returns the waiting requests that got one.
func (q *Queue) Resize(slots int) []*Ticket {
	q.slots = slots
	return q.admit()
}

// Release frees the slot of a request of a class that held it for the time given, and
// returns the waiting requests that got a slot.
func (q *Queue) Release(class string, held time.Duration) []*Ticket {
	if _, known := q.meanHoldByClass[class]; !known && len(q.meanHoldByClass) >= maxClasses {
		clear(q.meanHoldByClass)
	}
	q.meanHoldByClass[class] = updateMean(q.meanHoldByClass[class], held, classWindow)
	q.meanHold = updateMean(q.meanHold, held, overallWindow)
	q.used--
	return q.admit()
}

// updateMean returns the moving average after one more sample; mean is 0 before the first.
func updateMean(mean, sample time.Duration, window time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/window
}

// admit gives the free slots to the first waiting requests and returns these.
func (q *Queue) admit() []*Ticket {
	free := min(max(q.slots-q.used, 0), len(q.waiting))
	admitted := slices.Clone(q.waiting[:free])
	q.waiting = slices.Delete(q.waiting, 0, free)
	q.used += free
	return admitted
}
