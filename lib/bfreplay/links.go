package bfreplay

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bilberryflow.org/lib/bfagenda"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflink"
	"bilberryflow.org/lib/bfpacer"
	"bilberryflow.org/lib/bfslot"
	"bilberryflow.org/lib/bfwalk"
)

// LinkLoad describes downloads from targets behind narrow links.
type LinkLoad struct {
	Seed uint64
	// Domains, Entries and Targets are the numbers of failure domains, of nodes that callers use, and
	// of targets, which are beside the first entries.
	Domains, Entries, Targets, Slots int
	// PerSecond is the arrival rate, for Length.
	PerSecond float64
	Length    time.Duration
	// Rate is what a link sends in bytes per second.
	Rate float64
	// Bytes is the mean length of an answer, Spread the deviation of its logarithm, MaxBytes its limit.
	Bytes, MaxBytes int64
	Spread          float64
	// Running is the mean service time, RunSpread the deviation of its logarithm.
	Running   time.Duration
	RunSpread float64
	// Objective and Deadline are those of each caller, Retries how often a refused one retries.
	Objective, Deadline time.Duration
	Retries             int
	// Reserves admits by expected completion, with room reserved for running requests. Otherwise the
	// limit applies to the answers that have begun, and none at the last target.
	Reserves bool
}

// LinkReport holds the results of a LinkLoad.
type LinkReport struct {
	// Callers is the number of callers: InTime were answered within their objective, Late after it,
	// Refused not at all and Expired not by their deadline.
	Callers, InTime, Late, Refused, Expired int
	// Attempts is the number of requests sent to the targets.
	Attempts int
	// Times holds the latencies from a caller's first attempt to its answer, in microseconds.
	Times *hdrhistogram.Histogram
}

// linkWorld is the state of one simulation of a LinkLoad.
type linkWorld struct {
	load    LinkLoad
	agenda  *bfagenda.Agenda
	random  *rand.Rand
	entries []*entry
	targets map[string]*linkTarget
	inbound []string
	report  LinkReport
}

// linkTarget is a target, the queue for its slots and its node's link.
type linkTarget struct {
	target
	link *bflink.Link
	// sending are the answers that have begun, in the order in which they are sent; busy is set while
	// a piece of one is on the link.
	sending []*transfer
	busy    bool
	// begun is the number of answers and reservations so far.
	begun uint64
}

// transfer is an answer on its way over a link.
type transfer struct {
	order uint64
	left  int64
	done  func()
}

// download is one attempt of a caller.
type download struct {
	caller
	bytes      int64
	entry      int
	last       bool
	retryAfter time.Duration
}

// RunLinks simulates a load to its end and reports the outcomes.
func RunLinks(load LinkLoad) LinkReport {
	w := &linkWorld{
		load: load, agenda: bfagenda.New(time.Unix(0, 0)), random: rand.New(rand.NewPCG(load.Seed, ^load.Seed)), targets: map[string]*linkTarget{},
	}
	w.report.Times = hdrhistogram.New(1, maxLatencyMicros, 2)
	w.build()
	for at := time.Duration(0); at < load.Length; at += time.Duration(w.random.ExpFloat64() / load.PerSecond * float64(time.Second)) {
		w.report.Callers++
		length := float64(load.Bytes) * w.logNormal(load.Spread)
		d := download{bytes: min(int64(length), load.MaxBytes), entry: w.random.IntN(load.Entries)}
		d.serviceTime, d.retries = time.Duration(float64(load.Running)*w.logNormal(load.RunSpread)), load.Retries
		w.agenda.After(at, func() {
			d.firstAttempt, d.attempt, d.deadline = w.agenda.Now(), w.agenda.Now(), w.agenda.Now().Add(load.Deadline)
			w.send(&d)
		})
	}
	w.agenda.Run()
	return w.report
}

// logNormal returns a random factor with a mean of 1.
func (w *linkWorld) logNormal(spread float64) float64 {
	return math.Exp(spread*w.random.NormFloat64() - spread*spread/2)
}

func (w *linkWorld) build() {
	var members []bffleet.Member
	for at := range w.load.Entries {
		inbound, domain := fmt.Sprintf("10.0.0.%d:1", at+1), fmt.Sprint("domain-", at%w.load.Domains)
		w.inbound = append(w.inbound, inbound)
		if at < w.load.Targets {
			members = append(members, bffleet.Member{Inbound: inbound, Service: service, Domain: domain, Slots: w.load.Slots})
			w.targets[inbound] = &linkTarget{
				target: target{queue: bfslot.NewQueue(w.load.Slots), onGrant: map[*bfslot.Ticket]func(){}}, link: bflink.New(w.load.Rate),
			}
		}
		fleet := bffleet.NewWithRandom(bffleet.Place{Inbound: inbound, Domain: domain, LinkBytes: w.load.Rate}, w.random.Float64)
		w.entries = append(w.entries, &entry{fleet: fleet})
	}
	for _, e := range w.entries {
		e.fleet.Replace(members)
	}
}

// left is the time left until the objective of a download.
func (w *linkWorld) left(d *download) time.Duration {
	return w.load.Objective - w.agenda.Now().Sub(d.firstAttempt)
}

// send sends a download to the next target as bfentry does, or refuses it if none is left to try.
func (w *linkWorld) send(d *download) {
	e := w.entries[d.entry]
	const entryBytes = 16 << 10 // the part of an answer that an entry counts
	demand := bffleet.Demand{
		Service: service, Bytes: entryBytes, UsualTime: e.meanLatency, RunTime: w.load.Running, Objective: w.load.Objective, Left: w.left(d),
		SameDomain: d.foundFull && !bfwalk.TriesOtherDomain(e.crossDomain.Of(service), w.random.Float64()),
	}
	choice := e.fleet.Pick(demand, w.agenda.Now(), d.tried)
	selected := choice.Target()
	expired := d.foundFull && !d.last && w.agenda.Now().Sub(d.attempt) > bfwalk.MaxSearch(w.load.Objective, e.sameDomain.Of(service))
	switch {
	case (selected == nil || expired) && d.foundFull && !d.last:
		d.last, d.tried = true, nil
		w.send(d)
		return
	case selected == nil:
		w.refuse(d)
		return
	}
	d.tried = append(d.tried, selected)
	d.last = d.last || choice.Full() || w.load.Reserves && w.left(d) <= w.load.Running
	w.report.Attempts++
	delay := sameDomainDelay
	if e.fleet.IsInOtherDomain(selected) {
		delay = crossDomainDelay
	}
	if w.inbound[d.entry] == selected.Member().Inbound {
		delay = 0
	}
	request := bfslot.Request{Late: w.left(d) < e.meanLatency}
	if d.last || bfwalk.QueuesAtTarget(choice.Others(), e.sameDomain.Of(service)) {
		request.MaxWait = bfwalk.MaxWait(w.left(d), e.meanLatency)
	}
	selected.Begin()
	w.agenda.After(delay, func() { w.arrive(d, selected, request, delay) })
}

// arrive admits a download to its target's link and requests a slot.
func (w *linkWorld) arrive(d *download, selected *bffleet.Target, request bfslot.Request, delay time.Duration) {
	t := w.targets[selected.Member().Inbound]
	end := func() {}
	if delay > 0 {
		reservation, err := w.admitToLink(t, d)
		if err != nil {
			d.retryAfter = err.RetryAfter
			w.transmit(t, &transfer{left: refusalBytes, done: func() {}})
			w.agenda.After(delay, func() { w.refused(d, selected) })
			return
		}
		if reservation != nil {
			end = func() { t.link.End(reservation) }
		}
	}
	t.begun++
	order := t.begun
	full := func() {
		end()
		w.agenda.After(delay, func() { w.refused(d, selected) })
	}
	ticket, err := t.queue.Enter(request)
	switch {
	case err != nil:
		full()
	case ticket == nil:
		w.run(d, selected, delay, order, end)
	default:
		t.onGrant[ticket] = func() { w.run(d, selected, delay, order, end) }
		w.agenda.After(request.MaxWait, func() {
			if t.queue.Leave(ticket) {
				full()
			}
		})
	}
}

// refusalBytes is the size of a refusal, which overtakes answers.
const refusalBytes = 500

// linkWaitShare is the share of the objective that an answer may wait for the link while there are
// other targets to try, as in bfentry.
const linkWaitShare = 0.4

// admitToLink applies the rule of the load for the target's link.
func (w *linkWorld) admitToLink(t *linkTarget, d *download) (*bflink.Reservation, *bflink.FullError) {
	now := w.agenda.Now()
	maxWait := time.Duration(linkWaitShare * float64(w.load.Objective))
	if d.last {
		maxWait = 0
	}
	unsent := t.link.Duration(t.unsent())
	if !w.load.Reserves {
		if maxWait > 0 && unsent > maxWait {
			return nil, &bflink.FullError{Wait: unsent, RetryAfter: unsent - maxWait}
		}
		return nil, nil //nolint:nilnil // No reservation is made.
	}
	reservation, err := t.link.Admit(now, t.unsent(), bflink.Request{Class: service, Run: t.queue.MeanHold(service), Left: w.left(d), MaxWait: maxWait})
	var full *bflink.FullError
	errors.As(err, &full)
	return reservation, full
}

// unsent returns the bytes left of the answers that have begun.
func (t *linkTarget) unsent() int64 {
	sum := int64(0)
	for _, x := range t.sending {
		sum += x.left
	}
	return sum
}

// transmit sends an answer over the link, in pieces that give way to answers of a lower order.
func (w *linkWorld) transmit(t *linkTarget, x *transfer) {
	at, _ := slices.BinarySearchFunc(t.sending, x, func(a, b *transfer) int { return cmp.Compare(a.order, b.order) })
	t.sending = slices.Insert(t.sending, at, x)
	w.pump(t)
}

func (w *linkWorld) pump(t *linkTarget) {
	if t.busy || len(t.sending) == 0 {
		return
	}
	t.busy = true
	first := t.sending[0]
	piece := min(first.left, bfpacer.Piece)
	w.agenda.After(t.link.Duration(piece), func() {
		t.busy = false
		first.left -= piece
		if first.left == 0 {
			t.sending = slices.DeleteFunc(t.sending, func(x *transfer) bool { return x == first })
			first.done()
		}
		w.pump(t)
	})
}

// run executes a download that holds a slot and sends its answer over the link; order is that of its
// reservation.
func (w *linkWorld) run(d *download, selected *bffleet.Target, delay time.Duration, order uint64, end func()) {
	t := w.targets[selected.Member().Inbound]
	w.agenda.After(d.serviceTime, func() {
		for _, ticket := range t.queue.Release(service, d.serviceTime) {
			t.onGrant[ticket]()
			delete(t.onGrant, ticket)
		}
		began, backlog := w.agenda.Now(), w.backlog(t)
		end()
		finish := func() { w.agenda.After(delay, func() { w.answered(d, selected, backlog, began) }) }
		if delay == 0 {
			finish()
			return
		}
		t.link.Observe(service, d.bytes)
		if !w.load.Reserves {
			t.begun++
			order = t.begun
		}
		w.transmit(t, &transfer{order: order, left: d.bytes, done: finish})
	})
}

// backlog is what a node reports of its link.
func (w *linkWorld) backlog(t *linkTarget) time.Duration {
	unsent := t.link.Duration(t.unsent())
	if w.load.Reserves {
		unsent += t.link.Duration(t.link.Reserved())
	}
	return unsent
}

// note updates the entry's view of a target.
func (w *linkWorld) note(d *download, from *bffleet.Target, accepted bool, backlog time.Duration, at time.Time) {
	e, t := w.entries[d.entry], w.targets[from.Member().Inbound]
	used, slots := t.queue.Load()
	from.ReportLoad(used, slots, w.agenda.Now())
	from.ReportBacklog(backlog, at)
	from.End()
	rates := &e.sameDomain
	if e.fleet.IsInOtherDomain(from) {
		rates = &e.crossDomain
	}
	rates.Note(service, accepted)
}

// refused handles the refusal by a target's node.
func (w *linkWorld) refused(d *download, by *bffleet.Target) {
	w.note(d, by, false, w.backlog(w.targets[by.Member().Inbound]), w.agenda.Now())
	d.foundFull = true
	if d.last {
		w.refuse(d)
		return
	}
	e := w.entries[d.entry]
	d.last = w.load.Reserves && !bfwalk.TriesOtherLink(min(e.sameDomain.Of(service), e.crossDomain.Of(service)), w.random.Float64())
	w.send(d)
}

// answered records a complete answer.
func (w *linkWorld) answered(d *download, from *bffleet.Target, backlog time.Duration, began time.Time) {
	now := w.agenda.Now()
	w.note(d, from, true, backlog, began)
	e := w.entries[d.entry]
	const averagingDivisor = 10
	e.meanLatency += (now.Sub(d.attempt) - e.meanLatency) / averagingDivisor
	took := now.Sub(d.firstAttempt)
	if now.After(d.deadline) {
		w.report.Expired++
		return
	}
	// RecordValue fails only for values out of range, and this one is clamped.
	_ = w.report.Times.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
	if took <= w.load.Objective {
		w.report.InTime++
		return
	}
	w.report.Late++
}

// refuse schedules the caller's retry, or counts it as refused if it has no retries left. Callers
// wait for at most a third of their time.
func (w *linkWorld) refuse(d *download) {
	now := w.agenda.Now()
	left := d.deadline.Sub(now)
	refused := bfwalk.Refused{Objective: w.load.Objective, Used: d.attempt.Sub(d.firstAttempt), Left: left}
	pause := max(refused.RetryAfter(w.entries[d.entry].sameDomain.Of(service), w.random.Float64()), d.retryAfter)
	const pauseDivisor = 3
	if d.retries == 0 || pause > left/pauseDivisor {
		w.report.Refused++
		return
	}
	w.agenda.After(pause, func() {
		retry := *d
		retry.retries--
		retry.attempt, retry.tried, retry.foundFull, retry.last, retry.retryAfter = w.agenda.Now(), nil, false, false, 0
		w.send(&retry)
	})
}
