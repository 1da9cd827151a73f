package bfslot

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Request holds the properties of a request that the queue uses.
type Request struct {
	// Class groups requests whose slot hold times are averaged together.
	Class string
	// Workspace is the workspace of the request, "" for none.
	Workspace string
	// Nested is set for a request that a target makes while it runs another one.
	Nested bool
	// Rank is the priority of a waiting request; 0 goes first.
	Rank int
	// Late is set for a request that is expected to miss its latency objective.
	Late bool
	// MayProbe is set for a request that may be lost, to learn whether the target runs more than it
	// did without resetting connections.
	MayProbe bool
	// extra is the number of slots beyond the queue's that the request may take if it needs no wait.
	extra int
	// MaxWait is how long the request may wait for a slot.
	MaxWait time.Duration
}

// FullError is returned for a request that got no slot.
type FullError struct {
	// RetryAfter is the expected time until a slot is free.
	RetryAfter time.Duration
	// BeyondShare is set if the workspace of the request has its fair share of the slots.
	BeyondShare bool
}

// Error returns the message with the time to retry after.
func (e *FullError) Error() string { return fmt.Sprintf("no free slot, retry after %v", e.RetryAfter) }

// Queue assigns the slots of one target to requests. It is not safe for concurrent use.
//
// Nested calls go first. After them goes a request of the workspace that is within its max-min
// fair share, by rank, then of the one with the fewest slots. Requests without a workspace compete
// as one workspace.
type Queue struct {
	now time.Time
	// fading is the factor by which an average at epoch has faded until now.
	fading  float64
	epoch   time.Time
	slots   int
	used    int
	lanes   [lanes]lane
	arrived uint64
	// workspaces and active are those with requests or recent use; sweepAt is their number at which those
	// without are removed.
	workspaces map[string]*workspace
	active     []*workspace
	sweepAt    int
	// share is the fair share of the slots, and competes whether several workspaces want them.
	// satisfied is a buffer. acceptance is the share of the recent requests, of those that could
	// wait, that got a slot.
	share      float64
	competes   bool
	satisfied  []float64
	acceptance float64
	displaced  []Displaced
	// meanHoldByClass and meanHold are moving averages of how long requests hold a
	// slot: those of each class, and all of them.
	meanHoldByClass map[string]time.Duration
	meanHold        time.Duration
}

// Ticket represents a waiting request.
type Ticket struct {
	request   Request
	workspace *workspace
	// class is nil for a nested call, and for a request without a workspace where all are without.
	class   *class
	lane    int
	arrived uint64
	// expected is the time for which the request is expected to hold a slot.
	expected time.Duration
	// until is when the request stops waiting.
	until time.Time
}

// Displaced is a waiting request that is refused in favour of a workspace within its share.
type Displaced struct {
	Ticket *Ticket
	Err    *FullError
}

// NewQueue returns an empty queue for a number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, fading: 1, workspaces: map[string]*workspace{}, sweepAt: minSweep, acceptance: 1, meanHoldByClass: map[string]time.Duration{}}
}

// Load returns the number of running and waiting requests, and the number of slots.
func (q *Queue) Load() (used, slots int) { return q.used + q.waiting(), q.slots }

func (q *Queue) waiting() int { return q.lanes[nestedLane].count + q.lanes[callerLane].count }

// MeanHold returns the moving average of how long requests of a class hold a slot, or 0
// before the first one has released its slot.
func (q *Queue) MeanHold(class string) time.Duration { return q.meanHoldByClass[class] }

// OverallMeanHold returns how long a request of any class is expected to hold a slot.
func (q *Queue) OverallMeanHold() time.Duration { return cmp.Or(q.meanHold, defaultHold) }

// Enter gives the request a slot and returns nil, or returns a ticket if it has to wait.
// Its error is FullError. It may displace waiting requests.
//
// A request whose expected wait exceeds its limit is refused at once, so that another
// target can still serve it in time. Waiting until the limit would delay its retry and
// the requests behind it.
func (q *Queue) Enter(request Request) (*Ticket, error) {
	w := q.workspace(request.Workspace)
	if q.used < q.slots-q.reserve(request)+request.extra {
		q.used++
		q.hold(w, 1)
		w.clearDenied(laneOf(request), request.Class)
		q.noteAcceptance(request, 1)
		return nil, nil
	}
	t := q.newTicket(w, request)
	q.updateShare(w)
	if request.MaxWait <= 0 || request.Late || q.slots == 0 {
		return nil, q.refusal(t)
	}
	place := q.place(t)
	wait := q.expectedWait(q.ahead(t, place))
	if !request.Nested && wait > request.MaxWait {
		err := q.refusalAt(t, place)
		q.deny(t)
		return nil, err
	}
	within := q.competes && !q.standing(w, t, place).beyond
	q.insert(t)
	if within && !request.Nested {
		q.displace(t)
	}
	return t, nil
}

// newTicket makes the ticket of an arriving request.
func (q *Queue) newTicket(w *workspace, request Request) *Ticket {
	q.arrived++
	t := &Ticket{
		request: request, workspace: w, lane: laneOf(request), arrived: q.arrived,
		expected: q.expectedHold(request.Class), until: q.now.Add(request.MaxWait),
	}
	if !request.Nested && (request.Workspace != "" || len(q.workspaces) > 1) {
		t.class = w.class(request.Class)
	}
	return t
}

func laneOf(request Request) int {
	if request.Nested {
		return nestedLane
	}
	return callerLane
}

// noteAcceptance counts a request that got a slot, 1, or none, 0.
func (q *Queue) noteAcceptance(request Request, got float64) {
	if !request.Nested {
		q.acceptance += (got - q.acceptance) / acceptanceWindow
	}
}

// deny counts a request that gets no slot.
func (q *Queue) deny(t *Ticket) {
	q.noteAcceptance(t.request, 0)
	t.workspace.turns[t.lane].denied++
	if t.class != nil {
		t.class.turns.denied++
	}
}

// displace refuses the waiting requests beyond their workspace's share that are no longer expected
// to get a slot in time, the last in order first. Without it, they would wait in vain while their
// callers could go on to another target. arriving is never displaced: its class may be due, so that it
// goes first although it is the last of its workspace.
func (q *Queue) displace(arriving *Ticket) {
	for t, at := q.hopeless(arriving); t != nil; t, at = q.hopeless(arriving) {
		q.displaced = append(q.displaced, Displaced{t, q.refusalAt(t, at)})
		q.remove(t)
		q.deny(t)
	}
}

// hopeless returns the last request in order that is beyond the share of its workspace and not
// expected to get a slot in time, nil if there is none, and the number of requests of its workspace
// before it. It leaves out arriving.
func (q *Queue) hopeless(arriving *Ticket) (last *Ticket, place int) {
	var lastStanding standing
	for _, w := range q.lanes[callerLane].waiting {
		tickets := w.lines[callerLane].tickets
		at := len(tickets) - 1
		if tickets[at] == arriving {
			at--
		}
		if at < 0 {
			continue
		}
		t := tickets[at]
		s := q.standing(w, t, at)
		if w.name == "" || !s.beyond || last != nil && s.compare(lastStanding) < 0 {
			continue
		}
		if q.expectedWait(q.ahead(t, at)) > t.until.Sub(q.now) {
			last, place, lastStanding = t, at, s
		}
	}
	return last, place
}

// TakeDisplaced returns the requests displaced since the last call. The slice is valid until the
// next call of Enter.
func (q *Queue) TakeDisplaced() []Displaced {
	taken := q.displaced
	q.displaced = q.displaced[:0]
	return taken
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

// Leave removes a waiting request, and reports whether it was still waiting.
func (q *Queue) Leave(t *Ticket) bool {
	if !q.remove(t) {
		return false
	}
	q.deny(t)
	return true
}

// Full returns the error for a request whose wait timed out.
func (q *Queue) Full(t *Ticket) *FullError {
	q.updateShare(t.workspace)
	return q.refusal(t)
}

// refusal is the error for a request that is not in the queue.
func (q *Queue) refusal(t *Ticket) *FullError {
	if t.request.Workspace == "" {
		return &FullError{RetryAfter: q.expectedWait(q.waiting())}
	}
	return q.refusalAt(t, q.place(t))
}

// refusalAt is the error for a request with a number of requests of its workspace before it. Its
// delay follows the order of the queue, in which what the workspace uses beyond its share counts as
// ahead of it, too. A trial with the time in which the use fades to the share, up to 2 s, left slots
// free that the refused callers could have used.
func (q *Queue) refusalAt(t *Ticket, place int) *FullError {
	ahead := q.ahead(t, place)
	s := q.standing(t.workspace, t, place)
	beyond := s.beyond && t.request.Workspace != ""
	if beyond {
		ahead += int(math.Ceil(s.use - q.share))
	}
	return &FullError{RetryAfter: q.expectedWait(ahead), BeyondShare: beyond}
}

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

// Release frees the slot of a request of a class and without a workspace that held it for the time
// given, and returns the waiting requests that got a slot.
func (q *Queue) Release(class string, held time.Duration) []*Ticket {
	return q.ReleaseFor(Request{Class: class}, held)
}

// ReleaseFor frees the slot of a request that held it for the time given, and returns the waiting
// requests that got a slot.
func (q *Queue) ReleaseFor(request Request, held time.Duration) []*Ticket {
	class := request.Class
	if _, known := q.meanHoldByClass[class]; !known && len(q.meanHoldByClass) >= maxClasses {
		clear(q.meanHoldByClass)
	}
	q.meanHoldByClass[class] = updateMean(q.meanHoldByClass[class], held, classWindow)
	q.meanHold = updateMean(q.meanHold, held, overallWindow)
	q.used--
	q.hold(q.workspace(request.Workspace), -1)
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
	var admitted []*Ticket
	for q.used < q.slots && q.waiting() > 0 {
		q.updateShare(nil)
		t := q.next()
		q.remove(t)
		q.used++
		q.hold(t.workspace, 1)
		q.lanes[t.lane].serve(t)
		q.noteAcceptance(t.request, 1)
		admitted = append(admitted, t)
	}
	return admitted
}
