package bfreplay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberryflow.org/lib/bfagenda"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfslot"
	"bilberryflow.org/lib/bfwalk"
)

// Report is what became of the callers of a load.
type Report struct {
	// Callers came; InTime, Late and Refused of them were answered within their
	// objective, after it, or not at all.
	Callers, InTime, Late, Refused int
	// Asks is how often a target was asked, FarAsks how often one of another domain.
	Asks, FarAsks int
	// Times are those from a caller's first attempt to its answer, in microseconds.
	Times *hdrhistogram.Histogram
}

const (
	service = "service"
	// nearWay and farWay are how long a message takes within a domain and to another one.
	nearWay = 200 * time.Microsecond
	farWay  = 700 * time.Microsecond
	// longestMicro bounds the times that are told apart.
	longestMicro = int64(time.Minute / time.Microsecond)
)

// Run replays a load.
func Run(load Load, ways Ways) Report {
	w := newWorld(load, ways)
	for _, a := range load.arrivals() {
		w.report.Callers++
		w.agenda.After(a.at, func() {
			w.ask(&caller{arrival: a, began: w.agenda.Now(), deadline: w.agenda.Now().Add(load.Deadline), retries: load.Retries, attempt: w.agenda.Now()})
		})
	}
	w.agenda.Run()
	return w.report
}

// world is one replay.
type world struct {
	load    Load
	ways    Ways
	agenda  *bfagenda.Agenda
	entries []*entry
	targets map[string]*target
	report  Report
	// random is drawn from in the order of events, which is the same each time.
	random *rand.Rand
}

// entry is a node that callers come to; there is one beside each target.
type entry struct {
	fleet *bffleet.Fleet
	odds  bfwalk.AcceptRates
	far   bfwalk.AcceptRates
	// usual is the mean time from a sending to its answer.
	usual time.Duration
}

// target is a target with the queue of its node.
type target struct {
	speed float64
	queue *bfslot.Queue
	// granted starts those that got a slot.
	granted map[*bfslot.Ticket]func()
}

// caller is one caller in one of its attempts.
type caller struct {
	arrival
	began, deadline time.Time
	retries         int
	// attempt is when this attempt began, tried the targets that it asked.
	attempt time.Time
	tried   []*bffleet.Target
	full    bool
}

func newWorld(load Load, ways Ways) *world {
	w := &world{load: load, ways: ways, agenda: bfagenda.New(time.Unix(0, 0)), targets: map[string]*target{}, random: rand.New(rand.NewPCG(load.Seed, ^load.Seed))}
	w.report.Times = hdrhistogram.New(1, longestMicro, 2)
	var members []bffleet.Member
	for domain := range load.Domains {
		for at, speed := range load.Speeds {
			inbound := fmt.Sprintf("10.0.%d.%d:1", domain, at+1)
			members = append(members, bffleet.Member{Inbound: inbound, Service: service, Domain: fmt.Sprint("domain-", domain), Slots: load.Slots})
			w.targets[inbound] = &target{speed: speed, queue: bfslot.NewQueue(load.Slots), granted: map[*bfslot.Ticket]func(){}}
		}
	}
	for _, m := range members {
		fleet := bffleet.NewWithRandom(bffleet.Place{Inbound: m.Inbound, Domain: m.Domain}, w.random.Float64)
		fleet.Replace(members)
		w.entries = append(w.entries, &entry{fleet: fleet})
	}
	return w
}

// entryOf is the node that a caller comes to.
func (w *world) entryOf(c *caller) *entry {
	perDomain := len(w.load.Speeds)
	return w.entries[c.domain*perDomain+int(c.running)%perDomain]
}

// ask has a caller's request go to the next target.
func (w *world) ask(c *caller) {
	e := w.entryOf(c)
	left := w.load.Objective - w.agenda.Now().Sub(c.began)
	demand := bffleet.Demand{
		Service: service, Bytes: 1500, UsualTime: e.usual, RunTime: w.load.Running, Objective: w.load.Objective, Left: left,
		SameDomain: c.full && w.ways.ByOdds && !bfwalk.TriesOtherDomain(e.far.Of(service), w.random.Float64()),
	}
	choice := e.fleet.Pick(demand, w.agenda.Now(), c.tried)
	chosen := choice.Target()
	if chosen == nil || c.full && w.isDone(e, c) {
		w.refuse(e, c)
		return
	}
	c.tried = append(c.tried, chosen)
	way := nearWay
	w.report.Asks++
	if e.fleet.IsInOtherDomain(chosen) {
		way = farWay
		w.report.FarAsks++
	}
	request := bfslot.Request{Late: left < e.usual}
	if w.ways.Wait && (!w.ways.ByOdds || bfwalk.QueuesAtTarget(choice.Others(), e.odds.Of(service))) {
		request.MaxWait = bfwalk.MaxWait(left, e.usual)
	}
	chosen.Begin()
	w.agenda.After(way, func() { w.enter(c, chosen, request, way) })
}

// isDone reports whether a request that was refused asks nobody else.
func (w *world) isDone(e *entry, c *caller) bool {
	odds := 0.0
	if w.ways.ByOdds {
		odds = e.odds.Of(service)
	}
	return w.agenda.Now().Sub(c.attempt) > bfwalk.MaxSearch(w.load.Objective, odds)
}

// enter has a request ask for a slot.
func (w *world) enter(c *caller, at *bffleet.Target, request bfslot.Request, way time.Duration) {
	t := w.targets[at.Member().Inbound]
	ticket, err := t.queue.Enter(request)
	var full *bfslot.FullError
	switch {
	case errors.As(err, &full):
		w.agenda.After(way, func() { w.turnedAway(c, at) })
	case ticket == nil:
		w.run(c, at, way)
	default:
		t.granted[ticket] = func() { w.run(c, at, way) }
		w.agenda.After(request.MaxWait, func() {
			if t.queue.Leave(ticket) {
				w.agenda.After(way, func() { w.turnedAway(c, at) })
			}
		})
	}
}

// run has the target run a request.
func (w *world) run(c *caller, at *bffleet.Target, way time.Duration) {
	t := w.targets[at.Member().Inbound]
	length := time.Duration(float64(c.running) * t.speed)
	w.agenda.After(length, func() {
		for _, ticket := range t.queue.Release(service, length) {
			t.granted[ticket]()
			delete(t.granted, ticket)
		}
		w.agenda.After(way, func() { w.answered(c, at) })
	})
}

// hear takes what an answer tells of its target.
func (w *world) hear(e *entry, at *bffleet.Target, took bool) {
	t := w.targets[at.Member().Inbound]
	used, slots := t.queue.Load()
	at.ReportLoad(used, slots, w.agenda.Now())
	at.ReportHealth(0, t.speed, w.agenda.Now())
	at.End()
	odds := &e.odds
	if e.fleet.IsInOtherDomain(at) {
		odds = &e.far
	}
	odds.Note(service, took)
}

func (w *world) turnedAway(c *caller, at *bffleet.Target) {
	c.full = true
	w.hear(w.entryOf(c), at, false)
	w.ask(c)
}

func (w *world) answered(c *caller, at *bffleet.Target) {
	e := w.entryOf(c)
	w.hear(e, at, true)
	const learnShare = 10
	e.usual += (w.agenda.Now().Sub(c.attempt) - e.usual) / learnShare
	took := w.agenda.Now().Sub(c.began)
	// The time was clamped to the histogram's range, the one thing it refuses.
	_ = w.report.Times.RecordValue(min(max(took.Microseconds(), 1), longestMicro))
	if took <= w.load.Objective {
		w.report.InTime++
		return
	}
	w.report.Late++
}

// refuse tells the caller when to come back; one that has no more time does not.
func (w *world) refuse(e *entry, c *caller) {
	odds := 0.0
	if w.ways.ByOdds {
		odds = e.odds.Of(service)
	}
	refused := bfwalk.Refused{Objective: w.load.Objective, Used: c.attempt.Sub(c.began), Left: c.deadline.Sub(w.agenda.Now())}
	pause := refused.RetryAfter(odds, w.random.Float64())
	if c.retries == 0 || w.agenda.Now().Add(pause).After(c.deadline) {
		w.report.Refused++
		return
	}
	w.agenda.After(pause, func() {
		again := &caller{arrival: c.arrival, began: c.began, deadline: c.deadline, retries: c.retries - 1, attempt: w.agenda.Now()}
		w.ask(again)
	})
}
