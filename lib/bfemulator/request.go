package bfemulator

import (
	"errors"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfslot"
	"bilberryflow.org/lib/bfwalk"
)

const (
	// maxSent is how many targets a request is sent to at most.
	maxSent = 3
	// nestedPatience is the part of its objective for which a nested call waits for a slot,
	// as at a node's entry.
	nestedPatience = 0.5
	// siblingPause is how long a shed call waits to hear of those made with it, as there.
	siblingPause = 10 * time.Millisecond
)

// request is one request on its way, from an attempt of its caller or a call of a run.
type request struct {
	class   int
	entry   *node
	key     bfquarantine.Key
	running time.Duration
	// began is when the caller's first attempt came, attempt when this one did.
	began, attempt, deadline time.Time
	retries                  int
	// parent is the run that makes the request as a call, nil for a caller's.
	parent *run
	tried  []*bffleet.Target
	sent   int
	// granted says that a repeat was granted that reached no target yet, shed that a
	// target shed this call.
	granted, full, shed, failed bool
}

// run is a request at a target.
type run struct {
	*bfbudget.Run
	number  uint64
	request *request
	at      *bffleet.Target
	node    *node
	way     time.Duration
	began   time.Time
	// calls is how many calls have not ended; the run ends with the last of them and its
	// own work. ended says that it has.
	calls       int
	done, ended bool
	// apart says that it runs apart from others under which targets ended.
	apart bool
}

// ask has a request go to the next target.
func (w *world) ask(r *request) {
	c, e := w.load.Classes[r.class], r.entry
	if w.holds(r) {
		return
	}
	left := c.Objective.Std() - w.agenda.Now().Sub(r.began)
	demand := bffleet.Demand{
		Service: c.Service, Bytes: 1500, UsualTime: e.usual[r.class], RunTime: c.Running.Std(), Objective: c.Objective.Std(), Left: left,
		SameDomain: r.full && r.parent == nil && !bfwalk.TriesOtherDomain(e.far.Of(c.Service), w.random.Float64()),
	}
	choice := e.fleet.Pick(demand, w.agenda.Now(), r.tried)
	chosen := choice.Target()
	walked := w.agenda.Now().Sub(r.attempt) > bfwalk.MaxSearch(c.Objective.Std(), e.near.Of(c.Service))
	if chosen == nil || r.full && r.parent == nil && walked || !w.agenda.Now().Before(r.deadline) {
		w.refuse(r)
		return
	}
	r.tried = append(r.tried, chosen)
	way := nearWay
	w.report.Asks++
	if e.fleet.IsInOtherDomain(chosen) {
		way = farWay
		w.report.FarAsks++
	}
	slot := bfslot.Request{Class: c.Name, Nested: r.parent != nil, Rank: c.Rank, Late: r.parent == nil && left < e.usual[r.class]}
	switch {
	case r.parent != nil:
		slot.MaxWait = time.Duration(nestedPatience * float64(c.Objective))
	case bfwalk.QueuesAtTarget(choice.Others(), e.near.Of(c.Service)):
		slot.MaxWait = bfwalk.MaxWait(left, e.usual[r.class])
	}
	chosen.Begin()
	w.agenda.After(way, func() { w.enter(r, chosen, slot, way) })
}

// enter has a request ask for a slot.
func (w *world) enter(r *request, at *bffleet.Target, slot bfslot.Request, way time.Duration) {
	n := w.byName[at.Member().Inbound]
	if w.down(n) {
		w.agenda.After(way+unreachedAfter, func() { w.unreached(r, at) })
		return
	}
	ticket, err := n.queue.Enter(slot)
	var full *bfslot.FullError
	switch {
	case errors.As(err, &full):
		w.agenda.After(way, func() { w.turnedAway(r, at) })
	case ticket == nil:
		w.hand(r, at, n, way)
	default:
		n.granted[ticket] = func() { w.hand(r, at, n, way) }
		w.agenda.After(slot.MaxWait, func() {
			if n.queue.Leave(ticket) {
				w.agenda.After(way, func() { w.turnedAway(r, at) })
			}
		})
	}
}

// origin is why a request runs, as the budgets count it.
func (r *request) origin() bfbudget.Origin {
	switch {
	case r.sent > 0:
		return bfbudget.Retry{}
	case r.parent != nil && r.parent.IsRepeat():
		return bfbudget.Inherited{}
	}
	return bfbudget.First{}
}

// hand gives the request to the target of a node.
func (w *world) hand(r *request, at *bffleet.Target, n *node, way time.Duration) {
	c := w.load.Classes[r.class]
	apart, taken := w.takes(r, n)
	if !taken {
		w.release(n, c.Name, 0)
		w.agenda.After(way, func() { w.turnedAway(r, at) })
		return
	}
	opened, borne := n.account.Begin(c.Name, r.origin())
	if !borne {
		n.apart = n.apart && !apart
		w.release(n, c.Name, 0)
		w.agenda.After(way, func() { w.end(r, at, false) })
		return
	}
	if _, first := r.origin().(bfbudget.First); !first {
		w.report.count(w.report.repeats, n.service, w.passed())
	}
	w.report.Arrivals++
	if w.random.Float64() < w.fault(shed, n) {
		opened.End()
		n.apart = n.apart && !apart
		w.release(n, c.Name, 0)
		w.agenda.After(way, func() { w.wasShed(r, at) })
		return
	}
	slowness := 1.0
	if x := w.fault(slow, n); x > 0 {
		slowness = x
	}
	w.work(&run{Run: opened, request: r, at: at, node: n, way: way, apart: apart}, slowness)
}

// work has the target run a request, and make its calls.
func (w *world) work(u *run, slowness float64) {
	n, c := u.node, w.load.Classes[u.request.class]
	w.runs++
	u.number, u.began = w.runs, w.agenda.Now()
	n.running[u.number] = u
	length := time.Duration(float64(u.request.running) * n.speed * slowness)
	for _, call := range c.Calls {
		if w.random.Float64() >= call.Share {
			continue
		}
		for range call.Times {
			u.calls++
			w.call(u, w.load.class(call.Class))
		}
	}
	if c.EndsTargets {
		w.agenda.After(length, func() { w.endTarget(u) })
		return
	}
	w.agenda.After(length, func() {
		u.done = true
		w.settle(u)
	})
}

// call has a run make a call.
func (w *world) call(u *run, class int) {
	c := w.load.Classes[class]
	u.BeginCall(c.Service)
	r := w.newRequest(class, u.node)
	r.parent, r.retries = u, 0
	r.deadline = minTime(r.deadline, u.request.deadline)
	w.ask(r)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// settle ends a run whose work and calls are done, or one of whose calls failed.
func (w *world) settle(u *run) {
	failed := u.HasFailed()
	if u.ended || !failed && (!u.done || u.calls > 0) {
		return
	}
	u.ended = true
	delete(u.node.running, u.number)
	u.End()
	w.finished(u, !failed)
	w.release(u.node, w.load.Classes[u.request.class].Name, w.agenda.Now().Sub(u.began))
	w.agenda.After(u.way, func() { w.end(u.request, u.at, !failed) })
}

// release gives a slot back and starts who is next.
func (w *world) release(n *node, class string, held time.Duration) {
	for _, ticket := range n.queue.Release(class, held) {
		start := n.granted[ticket]
		delete(n.granted, ticket)
		start()
	}
}

// crash ends all that the targets run which a fault befalls.
func (w *world) crash(fault int) {
	for _, n := range w.nodes {
		if w.load.service(w.load.Faults[fault].Service) == n.service && w.befalls(w.load.Faults[fault], n) {
			w.lose(n)
		}
	}
}

// hear takes what an answer tells of its target.
func (w *world) hear(r *request, at *bffleet.Target, took bool) {
	n := w.byName[at.Member().Inbound]
	used, slots := n.queue.Load()
	at.ReportLoad(used, slots, w.agenda.Now())
	at.ReportHealth(0, n.speed, w.agenda.Now())
	at.End()
	odds := &r.entry.near
	if r.entry.fleet.IsInOtherDomain(at) {
		odds = &r.entry.far
	}
	odds.Note(w.load.Classes[r.class].Service, took)
}

func (w *world) turnedAway(r *request, at *bffleet.Target) {
	r.full = true
	w.hear(r, at, false)
	w.ask(r)
}

func (w *world) unreached(r *request, at *bffleet.Target) {
	at.End()
	at.Suspend(w.agenda.Now())
	w.ask(r)
}

// wasShed is the target's word that it did not run the request.
func (w *world) wasShed(r *request, at *bffleet.Target) {
	w.hear(r, at, true)
	r.sent++
	r.granted = false
	if r.parent == nil || r.shed {
		w.again(r)
		return
	}
	r.shed = true
	if r.parent.ShedCall(w.load.Classes[r.class].Service) {
		w.agenda.After(siblingPause, func() { w.again(r) })
		return
	}
	w.again(r)
}

// again sends a request once more, if that may be.
func (w *world) again(r *request) {
	c := w.load.Classes[r.class]
	may := r.sent < maxSent && w.agenda.Now().Before(r.deadline)
	switch {
	case !may:
	case r.parent != nil:
		may = r.parent.Take(c.Service)
	default:
		may = r.entry.account.Take(c.Service)
	}
	if !may {
		w.refuse(r)
		return
	}
	r.granted = true
	w.ask(r)
}

// end is that of a sending that ran, or was refused where its calls are paid.
func (w *world) end(r *request, at *bffleet.Target, served bool) {
	w.hear(r, at, true)
	c := w.load.Classes[r.class]
	if served {
		r.granted = false
		const learnShare = 10
		r.entry.usual[r.class] += (w.agenda.Now().Sub(r.attempt) - r.entry.usual[r.class]) / learnShare
		w.served(r)
		return
	}
	r.sent++
	r.failed = true
	if c.Once {
		w.refuse(r)
		return
	}
	r.granted = false
	w.again(r)
}

func (w *world) served(r *request) {
	if r.parent != nil {
		w.returned(r, true)
		return
	}
	w.report.served(r.class, w.agenda.Now().Sub(r.began), w.load.Classes[r.class].Objective.Std())
}

// returned tells the run that made a call how that ended.
func (w *world) returned(r *request, served bool) {
	u := r.parent
	u.EndCall(r.shed)
	if !served {
		u.Fail()
	}
	u.calls--
	w.settle(u)
}

// refuse gives a request up: a caller is told when to come back, if it has time left and
// the request did not run.
func (w *world) refuse(r *request) {
	c := w.load.Classes[r.class]
	if r.granted {
		r.entry.account.Return(c.Service)
	}
	if r.parent != nil {
		w.returned(r, false)
		return
	}
	refused := bfwalk.Refused{Objective: c.Objective.Std(), Used: r.attempt.Sub(r.began), Left: r.deadline.Sub(w.agenda.Now())}
	pause := refused.RetryAfter(r.entry.near.Of(c.Service), w.random.Float64())
	if r.failed {
		pause = unreachedAfter
	}
	if r.retries == 0 || r.failed && c.Once || !w.agenda.Now().Add(pause).Before(r.deadline) {
		w.report.gaveUp(r.class, r.failed)
		return
	}
	w.agenda.After(pause, func() {
		again := w.newCaller(r.class, r.entry)
		again.key = r.key
		again.running, again.began, again.deadline, again.retries = r.running, r.began, r.deadline, r.retries-1
		w.ask(again)
	})
}
