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

// Report holds the results of a simulation.
type Report struct {
	// Callers is the number of callers: InTime were answered within their objective, Late
	// after it, Refused not at all.
	Callers, InTime, Late, Refused int
	// Attempts is the number of requests sent to a target, CrossDomainAttempts of those to another failure domain.
	Attempts, CrossDomainAttempts int
	// Times holds the latencies from a caller's first attempt to its answer, in microseconds.
	Times *hdrhistogram.Histogram
}

const (
	service = "service"
	// sameDomainDelay and crossDomainDelay are the one-way network delays within a failure
	// domain and between two.
	sameDomainDelay  = 200 * time.Microsecond
	crossDomainDelay = 700 * time.Microsecond
	// maxLatencyMicros is the highest latency that the histogram resolves, in microseconds.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

// Run simulates a load to its end and reports the outcomes.
func Run(load Load, options Options) Report {
	w := newWorld(load, options)
	for _, a := range load.arrivals() {
		w.report.Callers++
		w.agenda.After(a.at, func() {
			w.tryNextTarget(&caller{arrival: a, firstAttempt: w.agenda.Now(), deadline: w.agenda.Now().Add(load.Deadline), retries: load.Retries, attempt: w.agenda.Now()})
		})
	}
	w.agenda.Run()
	return w.report
}

// world is the state of one simulation.
type world struct {
	load    Load
	options Options
	agenda  *bfagenda.Agenda
	entries []*entry
	targets map[string]*target
	report  Report
	// random is used in the order of events only, which keeps simulations reproducible.
	random *rand.Rand
}

// entry is a node that callers connect to; there is one beside each target.
type entry struct {
	fleet       *bffleet.Fleet
	sameDomain  bfwalk.AcceptRates
	crossDomain bfwalk.AcceptRates
	// meanLatency is the moving average of the time from attempt to answer.
	meanLatency time.Duration
}

// target is a target with the queue of its node.
type target struct {
	speed float64
	queue *bfslot.Queue
	// onGrant holds, by ticket, what to run once the slot is granted.
	onGrant map[*bfslot.Ticket]func()
}

// caller is one attempt of a caller.
type caller struct {
	arrival
	firstAttempt, deadline time.Time
	retries                int
	// attempt is when this attempt began, tried the targets it was sent to, and foundFull is
	// set once one of them had no free slot.
	attempt   time.Time
	tried     []*bffleet.Target
	foundFull bool
}

func newWorld(load Load, options Options) *world {
	w := &world{load: load, options: options, agenda: bfagenda.New(time.Unix(0, 0)), targets: map[string]*target{}, random: rand.New(rand.NewPCG(load.Seed, ^load.Seed))}
	w.report.Times = hdrhistogram.New(1, maxLatencyMicros, 2)
	var members []bffleet.Member
	for domain := range load.Domains {
		for at, speed := range load.Speeds {
			inbound := fmt.Sprintf("10.0.%d.%d:1", domain, at+1)
			members = append(members, bffleet.Member{Inbound: inbound, Service: service, Domain: fmt.Sprint("domain-", domain), Slots: load.Slots})
			w.targets[inbound] = &target{speed: speed, queue: bfslot.NewQueue(load.Slots), onGrant: map[*bfslot.Ticket]func(){}}
		}
	}
	for _, m := range members {
		fleet := bffleet.NewWithRandom(bffleet.Place{Inbound: m.Inbound, Domain: m.Domain}, w.random.Float64)
		fleet.Replace(members)
		w.entries = append(w.entries, &entry{fleet: fleet})
	}
	return w
}

// entryOf returns the node that a caller connects to.
func (w *world) entryOf(c *caller) *entry {
	perDomain := len(w.load.Speeds)
	return w.entries[c.domain*perDomain+int(c.serviceTime)%perDomain]
}

// tryNextTarget sends a caller's request to the next target, or refuses it if none is left to try.
func (w *world) tryNextTarget(c *caller) {
	e := w.entryOf(c)
	left := w.load.Objective - w.agenda.Now().Sub(c.firstAttempt)
	demand := bffleet.Demand{
		Service: service, Bytes: 1500, UsualTime: e.meanLatency, RunTime: w.load.Running, Objective: w.load.Objective, Left: left,
		SameDomain: c.foundFull && w.options.AdaptiveSearch && !bfwalk.TriesOtherDomain(e.crossDomain.Of(service), w.random.Float64()),
	}
	choice := e.fleet.Pick(demand, w.agenda.Now(), c.tried)
	selected := choice.Target()
	if selected == nil || c.foundFull && w.searchExpired(e, c) {
		w.refuse(e, c)
		return
	}
	c.tried = append(c.tried, selected)
	delay := sameDomainDelay
	w.report.Attempts++
	if e.fleet.IsInOtherDomain(selected) {
		delay = crossDomainDelay
		w.report.CrossDomainAttempts++
	}
	request := bfslot.Request{Late: left < e.meanLatency}
	if w.options.Wait && (!w.options.AdaptiveSearch || bfwalk.QueuesAtTarget(choice.Others(), e.sameDomain.Of(service))) {
		request.MaxWait = bfwalk.MaxWait(left, e.meanLatency)
	}
	selected.Begin()
	w.agenda.After(delay, func() { w.requestSlot(c, selected, request, delay) })
}

// searchExpired reports whether a request that found a full target may try no other.
func (w *world) searchExpired(e *entry, c *caller) bool {
	acceptance := 0.0
	if w.options.AdaptiveSearch {
		acceptance = e.sameDomain.Of(service)
	}
	return w.agenda.Now().Sub(c.attempt) > bfwalk.MaxSearch(w.load.Objective, acceptance)
}

// requestSlot requests a slot for a request that has arrived at its target's node.
func (w *world) requestSlot(c *caller, selected *bffleet.Target, request bfslot.Request, delay time.Duration) {
	t := w.targets[selected.Member().Inbound]
	ticket, err := t.queue.Enter(request)
	var full *bfslot.FullError
	switch {
	case errors.As(err, &full):
		w.agenda.After(delay, func() { w.onFull(c, selected) })
	case ticket == nil:
		w.run(c, selected, delay)
	default:
		t.onGrant[ticket] = func() { w.run(c, selected, delay) }
		w.agenda.After(request.MaxWait, func() {
			if t.queue.Leave(ticket) {
				w.agenda.After(delay, func() { w.onFull(c, selected) })
			}
		})
	}
}

// run executes a request that holds a slot, then releases the slot.
func (w *world) run(c *caller, selected *bffleet.Target, delay time.Duration) {
	t := w.targets[selected.Member().Inbound]
	length := time.Duration(float64(c.serviceTime) * t.speed)
	w.agenda.After(length, func() {
		for _, ticket := range t.queue.Release(service, length) {
			t.onGrant[ticket]()
			delete(t.onGrant, ticket)
		}
		w.agenda.After(delay, func() { w.onServed(c, selected) })
	})
}

// recordAnswer updates the entry node's load, speed and acceptance figures of a target that answered.
func (w *world) recordAnswer(e *entry, answering *bffleet.Target, accepted bool) {
	t := w.targets[answering.Member().Inbound]
	used, slots := t.queue.Load()
	answering.ReportLoad(used, slots, w.agenda.Now())
	answering.ReportHealth(0, t.speed, w.agenda.Now())
	answering.End()
	acceptance := &e.sameDomain
	if e.fleet.IsInOtherDomain(answering) {
		acceptance = &e.crossDomain
	}
	acceptance.Note(service, accepted)
}

// onFull handles the answer of a node whose target had no free slot.
func (w *world) onFull(c *caller, answering *bffleet.Target) {
	c.foundFull = true
	w.recordAnswer(w.entryOf(c), answering, false)
	w.tryNextTarget(c)
}

// onServed records the result of a request that was served.
func (w *world) onServed(c *caller, answering *bffleet.Target) {
	e := w.entryOf(c)
	w.recordAnswer(e, answering, true)
	const averagingDivisor = 10
	e.meanLatency += (w.agenda.Now().Sub(c.attempt) - e.meanLatency) / averagingDivisor
	took := w.agenda.Now().Sub(c.firstAttempt)
	// RecordValue fails only for values out of range, and this one is clamped.
	_ = w.report.Times.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
	if took <= w.load.Objective {
		w.report.InTime++
		return
	}
	w.report.Late++
}

// refuse schedules the caller's retry, or counts it as refused if it has no retries or time left.
func (w *world) refuse(e *entry, c *caller) {
	acceptance := 0.0
	if w.options.AdaptiveSearch {
		acceptance = e.sameDomain.Of(service)
	}
	refused := bfwalk.Refused{Objective: w.load.Objective, Used: c.attempt.Sub(c.firstAttempt), Left: c.deadline.Sub(w.agenda.Now())}
	pause := refused.RetryAfter(acceptance, w.random.Float64())
	if c.retries == 0 || w.agenda.Now().Add(pause).After(c.deadline) {
		w.report.Refused++
		return
	}
	w.agenda.After(pause, func() {
		retry := &caller{arrival: c.arrival, firstAttempt: c.firstAttempt, deadline: c.deadline, retries: c.retries - 1, attempt: w.agenda.Now()}
		w.tryNextTarget(retry)
	})
}
