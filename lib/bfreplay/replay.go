package bfreplay

import (
	"cmp"
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
	// BySource holds the outcomes by the name of the source.
	BySource map[string]*Outcomes
}

// Outcomes are the outcomes of one source. Surge counts the callers that arrived in the middle third
// of the load only.
type Outcomes struct {
	Callers, InTime, Late, Refused int
	Surge                          struct{ Callers, InTime int }
	// Times holds the latencies of the answers, in microseconds.
	Times *hdrhistogram.Histogram
}

// InTimeShare is the share of the callers in the middle third that were answered in time.
func (o *Outcomes) InTimeShare() float64 {
	return float64(o.Surge.InTime) / float64(max(o.Surge.Callers, 1))
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
		outcomes := w.outcomes(a.source)
		outcomes.Callers++
		if a.inSurge(load) {
			outcomes.Surge.Callers++
		}
		w.agenda.After(a.at, func() {
			w.tryNextTarget(&caller{arrival: a, firstAttempt: w.agenda.Now(), deadline: w.agenda.Now().Add(load.Deadline), retries: load.Retries, attempt: w.agenda.Now()})
		})
	}
	w.agenda.Run()
	return w.report
}

// inSurge reports whether the caller arrives in the middle third of the load.
func (a arrival) inSurge(load Load) bool { return a.at > load.Length/3 && a.at < load.Length*2/3 }

// outcomes returns the outcomes of a source.
func (w *world) outcomes(s *Source) *Outcomes {
	o := w.report.BySource[s.Name]
	if o == nil {
		o = &Outcomes{Times: hdrhistogram.New(1, maxLatencyMicros, 2)}
		w.report.BySource[s.Name] = o
	}
	return o
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
	shares      bfwalk.ShareRates
	// meanLatency is the moving average of the time from attempt to answer.
	meanLatency time.Duration
}

// target is a target with the queue of its node.
type target struct {
	speed float64
	queue *bfslot.Queue
	// onGrant holds, by ticket, what to run once the slot is granted.
	onGrant map[*bfslot.Ticket]func()
	// onRefusal holds what to run when a waiting request is refused.
	onRefusal map[*bfslot.Ticket]func(*bfslot.FullError)
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
	// comeBack is the longest delay that a full target has given.
	comeBack time.Duration
}

func newWorld(load Load, options Options) *world {
	w := &world{load: load, options: options, agenda: bfagenda.New(time.Unix(0, 0)), targets: map[string]*target{}, random: rand.New(rand.NewPCG(load.Seed, ^load.Seed))}
	w.report.Times = hdrhistogram.New(1, maxLatencyMicros, 2)
	w.report.BySource = map[string]*Outcomes{}
	var members []bffleet.Member
	for domain := range load.Domains {
		for at, speed := range load.Speeds {
			inbound := fmt.Sprintf("10.0.%d.%d:1", domain, at+1)
			members = append(members, bffleet.Member{Inbound: inbound, Service: service, Domain: fmt.Sprint("domain-", domain), Slots: load.Slots})
			w.targets[inbound] = &target{speed: speed, queue: bfslot.NewQueue(load.Slots), onGrant: map[*bfslot.Ticket]func(){}, onRefusal: map[*bfslot.Ticket]func(*bfslot.FullError){}}
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
	request := bfslot.Request{Class: c.source.Class, Rank: c.source.Rank, Late: left < e.meanLatency}
	if w.options.Fair {
		request.Workspace = c.source.Workspace
	}
	if w.options.Wait && (!w.options.AdaptiveSearch || bfwalk.QueuesAtTarget(choice.Others(), e.acceptRate(c))) {
		request.MaxWait = bfwalk.MaxWait(left, e.meanLatency)
	}
	selected.Begin()
	w.agenda.After(delay, func() { w.requestSlot(c, selected, request, delay) })
}

// acceptRate is the rate at which targets of the entry's failure domain accept requests of a caller.
func (e *entry) acceptRate(c *caller) float64 {
	return min(e.sameDomain.Of(service), e.shares.Of(service, c.source.Workspace))
}

// searchExpired reports whether a request that found a full target may try no other.
func (w *world) searchExpired(e *entry, c *caller) bool {
	acceptance := 0.0
	if w.options.AdaptiveSearch {
		acceptance = e.acceptRate(c)
	}
	return w.agenda.Now().Sub(c.attempt) > bfwalk.MaxSearch(w.load.Objective, acceptance)
}

// requestSlot requests a slot for a request that has arrived at its target's node.
func (w *world) requestSlot(c *caller, selected *bffleet.Target, request bfslot.Request, delay time.Duration) {
	t := w.targets[selected.Member().Inbound]
	t.queue.Advance(w.agenda.Now())
	ticket, err := t.queue.Enter(request)
	for _, displaced := range t.queue.TakeDisplaced() {
		refuse := t.onRefusal[displaced.Ticket]
		t.forget(displaced.Ticket)
		refuse(displaced.Err)
	}
	refuse := func(full *bfslot.FullError) { w.agenda.After(delay, func() { w.onFull(c, selected, full) }) }
	var full *bfslot.FullError
	switch {
	case errors.As(err, &full):
		refuse(full)
	case ticket == nil:
		w.run(c, selected, request, delay)
	default:
		t.onGrant[ticket] = func() { w.run(c, selected, request, delay) }
		t.onRefusal[ticket] = refuse
		w.agenda.After(request.MaxWait, func() {
			t.queue.Advance(w.agenda.Now())
			if t.queue.Leave(ticket) {
				t.forget(ticket)
				refuse(t.queue.Full(ticket))
			}
		})
	}
}

// forget drops what to do for a request that no longer waits.
func (t *target) forget(ticket *bfslot.Ticket) {
	delete(t.onGrant, ticket)
	delete(t.onRefusal, ticket)
}

// run executes a request that holds a slot, then releases the slot.
func (w *world) run(c *caller, selected *bffleet.Target, request bfslot.Request, delay time.Duration) {
	t := w.targets[selected.Member().Inbound]
	length := time.Duration(float64(c.serviceTime) * t.speed)
	w.agenda.After(length, func() {
		t.queue.Advance(w.agenda.Now())
		request.Class = cmp.Or(request.Class, service)
		for _, ticket := range t.queue.ReleaseFor(request, length) {
			start := t.onGrant[ticket]
			t.forget(ticket)
			start()
		}
		w.agenda.After(delay, func() { w.onServed(c, selected) })
	})
}

// recordAnswer updates the entry node's load, speed and acceptance figures of a target that answered.
func (w *world) recordAnswer(e *entry, answering *bffleet.Target, accepted, beyondShare bool) {
	t := w.targets[answering.Member().Inbound]
	used, slots := t.queue.Load()
	answering.ReportLoad(used, slots, w.agenda.Now())
	answering.ReportHealth(0, t.speed, w.agenda.Now())
	answering.End()
	acceptance := &e.sameDomain
	if e.fleet.IsInOtherDomain(answering) {
		acceptance = &e.crossDomain
	}
	if !beyondShare {
		acceptance.Note(service, accepted)
	}
}

// onFull handles the answer of a node whose target had no free slot.
func (w *world) onFull(c *caller, answering *bffleet.Target, full *bfslot.FullError) {
	c.foundFull = true
	c.comeBack = max(c.comeBack, full.RetryAfter)
	e := w.entryOf(c)
	w.recordAnswer(e, answering, false, full.BeyondShare)
	if w.options.Fair {
		e.shares.Note(service, c.source.Workspace, full.BeyondShare)
	}
	if full.BeyondShare && !bfwalk.TriesBeyondShare(e.shares.Of(service, c.source.Workspace), w.random.Float64()) {
		w.refuse(e, c)
		return
	}
	w.tryNextTarget(c)
}

// onServed records the result of a request that was served.
func (w *world) onServed(c *caller, answering *bffleet.Target) {
	e := w.entryOf(c)
	w.recordAnswer(e, answering, true, false)
	if w.options.Fair {
		e.shares.Note(service, c.source.Workspace, false)
	}
	const averagingDivisor = 10
	e.meanLatency += (w.agenda.Now().Sub(c.attempt) - e.meanLatency) / averagingDivisor
	took := w.agenda.Now().Sub(c.firstAttempt)
	// RecordValue fails only for values out of range, and this one is clamped.
	_ = w.report.Times.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
	outcomes := w.outcomes(c.source)
	// As above.
	_ = outcomes.Times.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
	if took <= w.load.Objective {
		w.report.InTime++
		outcomes.InTime++
		if c.inSurge(w.load) {
			outcomes.Surge.InTime++
		}
		return
	}
	w.report.Late++
	outcomes.Late++
}

// refuse schedules the caller's retry, or counts it as refused if it has no retries or time left.
func (w *world) refuse(e *entry, c *caller) {
	acceptance := 0.0
	if w.options.AdaptiveSearch {
		acceptance = e.acceptRate(c)
	}
	refused := bfwalk.Refused{Objective: w.load.Objective, Used: c.attempt.Sub(c.firstAttempt), Left: c.deadline.Sub(w.agenda.Now())}
	pause := refused.RetryAfter(acceptance, w.random.Float64())
	if len(w.load.Sources) > 0 {
		pause = max(pause, c.comeBack)
	}
	if c.retries == 0 || w.agenda.Now().Add(pause).After(c.deadline) {
		w.report.Refused++
		w.outcomes(c.source).Refused++
		return
	}
	w.agenda.After(pause, func() {
		retry := &caller{arrival: c.arrival, firstAttempt: c.firstAttempt, deadline: c.deadline, retries: c.retries - 1, attempt: w.agenda.Now()}
		w.tryNextTarget(retry)
	})
}
