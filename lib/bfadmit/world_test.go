package bfadmit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulation is one target and its callers: ten seconds at half of the capacity,
// a spike of twenty times that rate for five seconds, and the time after. A refused
// caller retries after RetryAfter, and one that is not answered by its deadline
// retries at once, up to maxTries.

const (
	spikeFrom  = 10 * time.Second
	spikeUntil = 15 * time.Second
	runLength  = 110 * time.Second
	maxTries   = 4
	// Callers that first arrive between afterFrom and afterUntil count as after the
	// spike, when no more refused callers retry.
	afterFrom  = 80 * time.Second
	afterUntil = 100 * time.Second
)

type kind struct {
	class                 string
	share                 float64
	priority, queue, caps int
	service, deadline     time.Duration
	served, refused, late int
	offered, retries      int
	before, after         [2]int // offered and served requests of callers before and after the spike
	inSpike               int    // requests answered during the spike
	latency, refusedAfter []time.Duration
}

func newKinds() []*kind {
	return []*kind{
		{class: "approval", share: 0.10, priority: 9, queue: 200, service: 40 * time.Millisecond, deadline: 2 * time.Second},
		{class: "download", share: 0.05, priority: 5, queue: 50, caps: 4, service: 100 * time.Millisecond, deadline: 4 * time.Second},
		{class: "look-up", share: 0.85, priority: 1, queue: 100, service: 15 * time.Millisecond, deadline: 500 * time.Millisecond},
	}
}

// call is one request of a caller with its retries.
type call struct {
	id, tries   int
	kind        *kind
	tenant      string
	first, sent time.Time
	// deadline is that of the policy, or half of it for every other caller.
	deadline time.Duration
	answered bool
}

func (c *call) name() string { return fmt.Sprintf("%d.%d", c.id, c.tries) }

type event struct {
	at    time.Time
	order int
	do    func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates the callers against a gate, or against an unbounded queue if gate is nil.
type simulation struct {
	random  *rand.Rand
	pending events
	order   int
	kinds   []*kind
	gate    *Gate
	byName  map[string]*call
	// targetCapacity is the number of requests above which the target sheds.
	targetCapacity, running int
	shed                    int
	slots                   int
	queue                   []*call
	wakeAt                  time.Time
}

func (w *simulation) at(t time.Time, do func(now time.Time)) {
	w.order++
	heap.Push(&w.pending, event{at: t, order: w.order, do: do})
}

func (w *simulation) run() {
	for len(w.pending) > 0 {
		e := heap.Pop(&w.pending).(event)
		if e.at.Sub(start) > runLength {
			return
		}
		e.do(e.at)
		if w.gate == nil {
			continue
		}
		if wake, wanted := w.gate.NextWake(e.at); wanted && (w.wakeAt.Before(e.at) || wake.Before(w.wakeAt)) {
			w.wakeAt = wake
			w.at(wake, func(now time.Time) {
				w.wakeAt = time.Time{}
				w.deliver(now, w.gate.Advance(now))
			})
		}
	}
}

func (w *simulation) arrivals(k *kind, gap time.Duration) {
	id := 0
	var next func(now time.Time)
	next = func(now time.Time) {
		times := 1.0
		if since := now.Sub(start); since >= spikeFrom && since < spikeUntil {
			times = 20
		}
		id++
		// One tenant sends half of the requests, nineteen others the rest.
		tenant := fmt.Sprint(max(0, w.random.IntN(38)-18))
		c := &call{id: id, kind: k, tenant: k.class + tenant, first: now, deadline: k.deadline / time.Duration(1+id%2)}
		k.offered++
		w.try(now, c)
		w.at(now.Add(time.Duration(w.random.ExpFloat64()*float64(gap)/times)), next)
	}
	w.at(start, next)
}

func (w *simulation) try(now time.Time, c *call) {
	if c.tries++; c.tries > maxTries {
		return
	}
	c.sent = now
	k := c.kind
	if c.tries > 1 {
		k.retries++
	}
	if w.gate == nil {
		w.queue = append(w.queue, c)
		tries := c.tries
		w.at(now.Add(c.deadline), func(now time.Time) {
			if !c.answered && c.tries == tries {
				w.try(now, c)
			}
		})
		w.serve(now)
		return
	}
	name := k.class + c.name()
	w.byName[name] = c
	verdict, notices := w.gate.Offer(now, Request{
		ID: name, Class: k.class, Tenant: c.tenant, Priority: k.priority, Queue: k.queue,
		Concurrency: k.caps, Deadline: now.Add(c.deadline),
	})
	w.receive(now, name, verdict)
	w.deliver(now, notices)
}

func (w *simulation) deliver(now time.Time, notices []Notice) {
	for _, n := range slices.Clone(notices) {
		w.receive(now, n.ID(), n.Verdict())
	}
}

func (w *simulation) receive(now time.Time, name string, verdict Verdict) {
	c := w.byName[name]
	switch v := verdict.(type) {
	case Run:
		w.work(now, c, name)
	case Refuse:
		c.kind.refused++
		c.kind.refusedAfter = append(c.kind.refusedAfter, now.Sub(c.sent))
		delete(w.byName, name)
		w.at(now.Add(v.RetryAfter()), func(now time.Time) { w.try(now, c) })
	case Wait:
	}
}

// serve runs the unbounded queue in order of arrival, including requests that timed out.
func (w *simulation) serve(now time.Time) {
	for w.running < w.slots && len(w.queue) > 0 {
		c := w.queue[0]
		w.queue = w.queue[1:]
		w.work(now, c, "")
	}
}

func (w *simulation) work(now time.Time, c *call, name string) {
	w.running++
	sent := c.sent
	service := time.Duration(w.random.ExpFloat64() * float64(c.kind.service))
	outcome := Done
	if w.running > w.targetCapacity {
		service, outcome = time.Millisecond, Shed
		w.shed++
	}
	w.at(now.Add(service), func(now time.Time) {
		w.running--
		if outcome == Done {
			w.answer(now, c, sent)
		}
		if w.gate == nil {
			w.serve(now)
			return
		}
		delete(w.byName, name)
		notices, err := w.gate.Finish(now, name, outcome)
		if err != nil {
			panic(err)
		}
		w.deliver(now, notices)
	})
}

func (w *simulation) answer(now time.Time, c *call, sent time.Time) {
	k := c.kind
	if took := now.Sub(sent); took <= c.deadline && !c.answered {
		c.answered = true
		k.served++
		k.latency = append(k.latency, took)
		if since := now.Sub(start); since >= spikeFrom && since < spikeUntil {
			k.inSpike++
		}
		switch came := c.first.Sub(start); {
		case came < spikeFrom:
			k.before[1]++
		case came >= afterFrom && came < afterUntil:
			k.after[1]++
		}
		return
	}
	k.late++
}

func newSimulation(slots int, gate *Gate) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(3, 5)), kinds: newKinds(), gate: gate, byName: map[string]*call{}, slots: slots, targetCapacity: slots,
	}
	var mean float64
	for _, k := range w.kinds {
		mean += k.share * float64(k.service)
	}
	for _, k := range w.kinds {
		w.arrivals(k, time.Duration(mean/float64(slots)/0.5/k.share))
	}
	return w
}
