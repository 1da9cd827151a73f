package bfhost

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfslot"
	"bilberryflow.org/lib/bftimer"
)

// Parts is what a Host works with.
type Parts struct {
	Service string
	Names   bfheader.Names
	Client  *bfexchange.Client
	Timer   *bftimer.Service
	// Account is the node's own part of the fleet's budgets of repeats.
	Account *bfbudget.Account
	// Changed is called after each change of what is believed of the target, nil where none is.
	Changed func(*Target)
	// Quarantine holds the requests under which targets end; nil is an empty one.
	Quarantine *bfquarantine.Book
	// Crashed is called after the target's end without a word, nil where nobody asks.
	Crashed func(bfflight.Crash)
}

// Host is the node's side towards its target.
type Host struct {
	parts  Parts
	gate   *bfslot.Gate
	mu     sync.Mutex
	book   book
	target atomic.Pointer[Target]
	// leaving says that the node itself takes no new work.
	leaving atomic.Bool
	// running counts the requests that the target works on, and those of other nodes
	// whose answers are on their way.
	running atomic.Int64
	failing failing
	// runs holds a bfbudget.Run for the ID of each request that the target works on.
	runs    sync.Map
	flights *bfflight.Register
}

// New makes a host that has not heard of its target.
func New(parts Parts) *Host {
	if parts.Quarantine == nil {
		parts.Quarantine = bfquarantine.New("")
	}
	h := &Host{
		parts: parts,
		gate:  bfslot.New(parts.Timer),
		book:  book{service: parts.Service},
	}
	h.flights = h.newFlights()
	return h
}

// Heard takes a heartbeat of the target.
func (h *Host) Heard(beat Heartbeat) {
	now := h.parts.Timer.Now()
	h.change(func(b *book) bool { return b.hear(beat, now) })
}

// Recall takes what this node wrote down of its target before it was started anew, while
// the target has not spoken to it yet.
//
// Targets speak every 1.5 s. A node that is started again beside one that works on would
// refuse all work for it until then, 0.4 s in the mean, and the others would pass it over
// for longer. The target's incarnation goes with each request, so that another one at the
// address refuses it.
func (h *Host) Recall(target Heartbeat) {
	now := h.parts.Timer.Now()
	h.change(func(b *book) bool { return b.recall(target, now) })
}

// Left takes the target's departure.
func (h *Host) Left(departure Departure) {
	now := h.parts.Timer.Now()
	h.change(func(b *book) bool { return b.leave(departure, now) })
}

func (h *Host) change(fn func(*book) bool) {
	if target, changed := h.update(fn); changed {
		h.parts.Changed(target)
	}
}

func (h *Host) update(fn func(*book) bool) (*Target, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := fn(&h.book)
	target := h.book.current
	h.target.Store(target)
	if changed && target != nil {
		h.gate.Resize(target.Slots())
	}
	return target, changed
}

// Target is what is believed of the target, nil before its first heartbeat.
func (h *Host) Target() *Target { return h.target.Load() }

// Load is how many of the target's slots are in use, and how many there are.
func (h *Host) Load() (used, slots int) { return h.gate.Load() }

// Leave has the node take no new work for its target.
func (h *Host) Leave() { h.leaving.Store(true) }

// Leaving reports whether the node takes no new work for its target.
func (h *Host) Leaving() bool { return h.leaving.Load() }

// Running is 0 once the target works on nothing and no answer is on its way to
// another node.
func (h *Host) Running() int64 { return h.running.Load() }

// usable gives the target if it takes new work of the service.
//
// An address can come back with another service behind it while others still
// know the old one there: they would have one service run the other's requests.
func (h *Host) usable(service string) (*Target, Result) {
	target := h.target.Load()
	switch {
	case service != h.parts.Service:
		return nil, Refused{Reason: OtherService}
	case target == nil || target.isStale(h.parts.Timer.Now()):
		return nil, Refused{Reason: NoTarget}
	case !target.takes || h.leaving.Load():
		return nil, Refused{Reason: Leaving}
	}
	return target, nil
}

// Run hands a job to the target, if it has a slot for it, and reads the answer.
func (h *Host) Run(ctx context.Context, job Job) Result {
	if _, refused := h.usable(job.Policy.Service); refused != nil {
		return refused
	}
	asked := h.asked(job)
	if err := h.flights.Check(asked); err != nil {
		return notBegun(err)
	}
	came := h.parts.Timer.Now()
	slot, err := h.gate.Acquire(ctx, bfslot.Request{
		Class: job.Policy.Class, Nested: job.Policy.Nested, Late: job.Policy.Late, Rank: job.Policy.Rank, Patience: job.Policy.Patience,
	})
	var full *bfslot.FullError
	switch {
	case errors.As(err, &full):
		return Refused{Reason: Full, RetryAfter: full.RetryAfter}
	case err != nil:
		return Expired{}
	}
	// The target may have begun to drain while the request waited.
	target, refused := h.usable(job.Policy.Service)
	if refused != nil {
		slot.Release()
		return refused
	}
	// Targets may have ended under the request while it waited.
	flight, err := h.flights.Begin(flightTarget{h, target}, job.Request.ID, asked)
	if err != nil {
		slot.Release()
		return notBegun(err)
	}
	run, borne := h.parts.Account.Begin(job.Policy.Class, job.Policy.origin())
	if !borne {
		flight.End()
		slot.Release()
		return Refused{Reason: Unborne}
	}
	h.begin(job, run)
	end := h.hand(ctx, job, handover{target, flight}, func() {
		h.end(job, run)
		flight.End()
		slot.Release()
	})
	h.failing.judge(end)
	if answered, ok := end.(Answered); ok {
		flight.Answered()
		answered.Answer.Spent = Spent{Wait: flight.Began().Sub(came), Run: h.parts.Timer.Now().Sub(flight.Began())}
	}
	return end
}

// nestedSeparator stands between a parent's ID and the rest of its nested call's.
const nestedSeparator = "."

// Parent finds the run in which the request of that ID is nested, nil where the
// target works on none.
func (h *Host) Parent(id string) *bfbudget.Run {
	at := strings.LastIndex(id, nestedSeparator)
	if at < 0 {
		return nil
	}
	found, ok := h.runs.Load(id[:at])
	if !ok {
		return nil
	}
	return found.(*bfbudget.Run)
}

func (h *Host) begin(job Job, run *bfbudget.Run) {
	h.running.Add(1)
	h.runs.Store(job.Request.ID, run)
}

func (h *Host) end(job Job, run *bfbudget.Run) {
	h.runs.Delete(job.Request.ID)
	run.End()
	h.running.Add(-1)
}

// handover is a request in the hands of a target.
type handover struct {
	target *Target
	flight *bfflight.Flight
}

// answerMargin is how long after its deadline a target's answer is waited for:
// at the deadline the target answers on its own, and that answer is on its way.
const answerMargin = 100 * time.Millisecond

// hand sends the job to the target; done is called when the target works on it no more.
func (h *Host) hand(ctx context.Context, job Job, to handover, done func()) Result {
	left := job.Deadline.Sub(h.parts.Timer.Now())
	if left <= 0 {
		done()
		return Expired{}
	}
	if !job.Policy.Repeatable {
		// The target goes on with such a request also when its caller has left;
		// a closed connection would leave its outcome unknown to everyone.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left+answerMargin)
	finish := func() {
		cancel()
		done()
	}
	header := job.Request.Header
	header[h.parts.Names.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	header[h.parts.Names.ExpectTarget] = []string{to.target.Incarnation()}
	answer, err := h.parts.Client.Send(ctx, to.target.Address(), job.Request)
	var notSent *bfexchange.NotSentError
	switch {
	case errors.As(err, &notSent):
		finish()
		if job.Request.Rest != nil {
			// A part of the body may have been read from the caller.
			return Lost{Reason: err.Error()}
		}
		return Refused{Reason: Unreached, Err: err}
	case err != nil:
		defer finish()
		return h.lost(ctx, err, job, to)
	}
	return h.take(ctx, answer, to, finish, job)
}

func (h *Host) lost(ctx context.Context, err error, job Job, to handover) Result {
	if !h.parts.Timer.Now().Before(job.Deadline) {
		return Expired{Sent: true}
	}
	to.flight.Lost(ctx)
	return Lost{Reason: err.Error()}
}

// take reads the answer, or the target's word that it did not run the request.
func (h *Host) take(ctx context.Context, from *bfexchange.Answer, to handover, finish func(), job Job) Result {
	if from.Status() == http.StatusMisdirectedRequest {
		// Another incarnation has the address; nothing runs until it is heard of.
		from.Close()
		finish()
		now := h.parts.Timer.Now()
		h.change(func(b *book) bool { return b.replaced(to.target.Incarnation(), now) })
		return Refused{Reason: NoTarget}
	}
	if from.Header().Get(h.parts.Names.NotRun) != "" {
		status := from.Status()
		from.Discard()
		finish()
		return Shed{Status: status}
	}
	answer, err := ReadAnswer(from, HoldAtTarget, finish)
	if err != nil {
		defer finish()
		return h.lost(ctx, err, job, to)
	}
	return Answered{answer}
}
