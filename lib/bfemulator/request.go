package bfemulator

import (
	"errors"
	"time"

	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflimit"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfslot"
	"bilberryflow.org/lib/bfwalk"
)

const (
	// maxSends is the number of targets a request may be sent to.
	maxSends = 3
	// nestedPatienceRatio is the share of its objective for which a nested call waits for a
	// slot, as at a real entry node.
	nestedPatienceRatio = 0.5
	// siblingWait is how long a shed call waits for the results of its sibling calls, as at a
	// real entry node.
	siblingWait = 10 * time.Millisecond
)

// request is one attempt of a caller, or one nested call of a run.
type request struct {
	class       int
	entry       *node
	key         bfquarantine.Key
	serviceTime time.Duration
	// firstAttempt is when the caller's first attempt began, attempt when this one did.
	firstAttempt, attempt, deadline time.Time
	retries                         int
	// parent is the run that makes the nested call, nil for a caller's request.
	parent *run
	tried  []*bffleet.Target
	sends  int
	// repeatGranted is set while a granted repeat has reached no target, foundFull once a
	// target had no free slot, shed once a target shed this nested call, failed once a run of
	// it failed.
	repeatGranted, foundFull, shed, failed bool
}

// run is a request being executed by a target.
type run struct {
	*bfbudget.Run
	number  uint64
	request *request
	target  *bffleet.Target
	node    *node
	delay   time.Duration
	started time.Time
	// calls counts the nested calls in progress. The run ends when its own work is done and
	// calls is 0, or when a call fails.
	calls       int
	done, ended bool
	// isolated is set for a quarantine suspect, of which a target runs one at a time.
	isolated bool
}

// tryNextTarget sends a request to the next target, or refuses it if none is left to try.
func (w *world) tryNextTarget(r *request) {
	c, entry := w.load.Classes[r.class], r.entry
	if w.refuseQuarantined(r) {
		return
	}
	left := c.Objective.Std() - w.agenda.Now().Sub(r.firstAttempt)
	demand := bffleet.Demand{
		Service: c.Service, Bytes: 1500, UsualTime: entry.meanLatency[r.class], RunTime: c.Running.Std(), Objective: c.Objective.Std(), Left: left,
		SameDomain: r.foundFull && r.parent == nil && !bfwalk.TriesOtherDomain(entry.crossDomain.Of(c.Service), w.random.Float64()),
	}
	choice := entry.fleet.Pick(demand, w.agenda.Now(), r.tried)
	target := choice.Target()
	searchExpired := w.agenda.Now().Sub(r.attempt) > bfwalk.MaxSearch(c.Objective.Std(), entry.sameDomain.Of(c.Service))
	if target == nil || r.foundFull && r.parent == nil && searchExpired || !w.agenda.Now().Before(r.deadline) {
		w.refuse(r)
		return
	}
	r.tried = append(r.tried, target)
	delay := sameDomainDelay
	w.report.Attempts++
	if entry.fleet.IsInOtherDomain(target) {
		delay = crossDomainDelay
		w.report.CrossDomainAttempts++
	}
	slot := bfslot.Request{Class: c.Name, Nested: r.parent != nil, Rank: c.Rank, Late: r.parent == nil && left < entry.meanLatency[r.class]}
	switch {
	case r.parent != nil:
		slot.MaxWait = time.Duration(nestedPatienceRatio * float64(c.Objective))
	case bfwalk.QueuesAtTarget(choice.Others(), entry.sameDomain.Of(c.Service)):
		slot.MaxWait = bfwalk.MaxWait(left, entry.meanLatency[r.class])
	}
	target.Begin()
	w.agenda.After(delay, func() { w.requestSlot(r, target, slot, delay) })
}

// requestSlot requests a slot for a request that has arrived at its target's node.
func (w *world) requestSlot(r *request, target *bffleet.Target, slot bfslot.Request, delay time.Duration) {
	n := w.byAddress[target.Member().Inbound]
	if w.down(n) || w.leaves(n) {
		w.agenda.After(delay+connectFailureDelay, func() { w.onUnreachable(r, target) })
		return
	}
	w.admitLimited(r, target, n, slot, delay, func(permit bflimit.Permit) { w.enterQueue(r, target, n, slot, delay, permit) })
}

// enterQueue queues a request that the target's limit allows for a slot.
func (w *world) enterQueue(r *request, target *bffleet.Target, n *node, slot bfslot.Request, delay time.Duration, permit bflimit.Permit) {
	ticket, err := n.queue.Enter(slot)
	var full *bfslot.FullError
	switch {
	case errors.As(err, &full):
		n.limit.Cancel(permit)
		w.agenda.After(delay, func() { w.onFull(r, target) })
	case ticket == nil:
		w.dispatch(r, target, n, delay)
	default:
		n.onGrant[ticket] = func() { w.dispatch(r, target, n, delay) }
		w.agenda.After(slot.MaxWait, func() {
			if n.queue.Leave(ticket) {
				n.limit.Cancel(permit)
				w.agenda.After(delay, func() { w.onFull(r, target) })
			}
		})
	}
}

// origin classifies a request for the retry budget.
func (r *request) origin() bfbudget.Origin {
	switch {
	case r.sends > 0:
		return bfbudget.Retry{}
	case r.parent != nil && r.parent.IsRepeat():
		return bfbudget.Inherited{}
	}
	return bfbudget.First{}
}

// dispatch passes a request that holds a slot to the target of a node.
func (w *world) dispatch(r *request, target *bffleet.Target, n *node, delay time.Duration) {
	c := w.load.Classes[r.class]
	isolated, admitted := w.admit(r, n)
	if !admitted {
		w.releaseSlot(n, c.Name, 0)
		w.agenda.After(delay, func() { w.onFull(r, target) })
		return
	}
	budgeted, granted := n.account.Begin(c.Name, r.origin())
	if !granted {
		n.isolating = n.isolating && !isolated
		w.releaseSlot(n, c.Name, 0)
		w.agenda.After(delay, func() { w.onEnd(r, target, false) })
		return
	}
	if _, first := r.origin().(bfbudget.First); !first {
		w.report.count(w.report.repeats, n.service, w.elapsed())
	}
	w.report.Arrivals++
	w.recordArrival(n)
	if w.random.Float64() < w.faultFactor(faultShed, n) {
		budgeted.End()
		w.observeAnswer(n, w.agenda.Now())
		n.isolating = n.isolating && !isolated
		w.releaseSlot(n, c.Name, 0)
		w.agenda.After(delay, func() { w.onShed(r, target) })
		return
	}
	factor := 1.0
	if x := w.faultFactor(faultSlow, n); x > 0 {
		factor = x
	}
	w.execute(&run{Run: budgeted, request: r, target: target, node: n, delay: delay, isolated: isolated}, factor)
}

// execute runs a request at its target and starts its nested calls.
func (w *world) execute(u *run, factor float64) {
	n, c := u.node, w.load.Classes[u.request.class]
	w.runs++
	u.number, u.started = w.runs, w.agenda.Now()
	n.running[u.number] = u
	length := time.Duration(float64(u.request.serviceTime) * n.speed * factor)
	for _, call := range c.Calls {
		if w.random.Float64() >= call.Share {
			continue
		}
		for range call.Times {
			u.calls++
			w.startCall(u, w.load.classIndex(call.Class))
		}
	}
	if c.EndsTargets {
		w.agenda.After(length, func() { w.crashByRequest(u) })
		return
	}
	w.agenda.After(length, func() {
		u.done = true
		w.endIfDone(u)
	})
}

// startCall starts a nested call of a run.
func (w *world) startCall(u *run, class int) {
	c := w.load.Classes[class]
	u.BeginCall(c.Service)
	r := w.newRequest(class, u.node)
	r.parent, r.retries = u, 0
	r.deadline = minTime(r.deadline, u.request.deadline)
	w.tryNextTarget(r)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// endIfDone ends a run whose work and nested calls are done, or one that has failed.
func (w *world) endIfDone(u *run) {
	failed := u.HasFailed()
	if u.ended || !failed && (!u.done || u.calls > 0) {
		return
	}
	u.ended = true
	w.observeAnswer(u.node, u.started)
	delete(u.node.running, u.number)
	u.End()
	w.recordFinished(u, !failed)
	w.releaseSlot(u.node, w.load.Classes[u.request.class].Name, w.agenda.Now().Sub(u.started))
	w.agenda.After(u.delay, func() { w.onEnd(u.request, u.target, !failed) })
}

// releaseSlot frees a slot and starts the requests that are granted it.
func (w *world) releaseSlot(n *node, class string, held time.Duration) {
	for _, ticket := range n.queue.Release(class, held) {
		start := n.onGrant[ticket]
		delete(n.onGrant, ticket)
		start()
	}
}

// applyCrash crashes the targets that a fault affects.
func (w *world) applyCrash(fault int) {
	for _, n := range w.nodes {
		if w.load.serviceIndex(w.load.Faults[fault].Service) == n.service && w.affects(w.load.Faults[fault], n) {
			w.crashTarget(n)
		}
	}
}

// recordAnswer updates the entry node's load, speed and acceptance figures of a target that answered.
func (w *world) recordAnswer(r *request, target *bffleet.Target, accepted bool) {
	n := w.byAddress[target.Member().Inbound]
	used, slots := n.queue.Load()
	target.ReportLoad(used, n.limit.Slots(slots, n.queue.OverallMeanHold()), w.agenda.Now())
	target.ReportHealth(0, n.speed, w.agenda.Now())
	target.End()
	acceptance := &r.entry.sameDomain
	if r.entry.fleet.IsInOtherDomain(target) {
		acceptance = &r.entry.crossDomain
	}
	acceptance.Note(w.load.Classes[r.class].Service, accepted)
}

// onFull handles the answer of a node whose target had no free slot.
func (w *world) onFull(r *request, target *bffleet.Target) {
	r.foundFull = true
	w.recordAnswer(r, target, false)
	w.tryNextTarget(r)
}

// onUnreachable handles a failed connection to a target.
func (w *world) onUnreachable(r *request, target *bffleet.Target) {
	target.End()
	target.Suspend(w.agenda.Now())
	w.tryNextTarget(r)
}

// onShed handles a target's answer that it shed the request without running it.
func (w *world) onShed(r *request, target *bffleet.Target) {
	w.recordAnswer(r, target, true)
	r.sends++
	r.repeatGranted = false
	if r.parent == nil || r.shed {
		w.repeat(r)
		return
	}
	r.shed = true
	if r.parent.ShedCall(w.load.Classes[r.class].Service) {
		w.agenda.After(siblingWait, func() { w.repeat(r) })
		return
	}
	w.repeat(r)
}

// repeat resends a request if attempts, time and retry budget are left, else refuses it.
func (w *world) repeat(r *request) {
	c := w.load.Classes[r.class]
	allowed := r.sends < maxSends && w.agenda.Now().Before(r.deadline)
	switch {
	case !allowed:
	case r.parent != nil:
		allowed = r.parent.Take(c.Service)
	default:
		allowed = r.entry.account.Take(c.Service)
	}
	if !allowed {
		w.refuse(r)
		return
	}
	r.repeatGranted = true
	w.tryNextTarget(r)
}

// onEnd handles the end of a send: the run was served or failed, or the target's node refused
// it for lack of retry budget.
func (w *world) onEnd(r *request, target *bffleet.Target, served bool) {
	w.recordAnswer(r, target, true)
	c := w.load.Classes[r.class]
	if served {
		r.repeatGranted = false
		const averagingDivisor = 10
		r.entry.meanLatency[r.class] += (w.agenda.Now().Sub(r.attempt) - r.entry.meanLatency[r.class]) / averagingDivisor
		w.complete(r)
		return
	}
	r.sends++
	r.failed = true
	if c.Once {
		w.refuse(r)
		return
	}
	r.repeatGranted = false
	w.repeat(r)
}

// complete ends a request that was served.
func (w *world) complete(r *request) {
	if r.parent != nil {
		w.endCall(r, true)
		return
	}
	w.report.recordServed(r.class, w.agenda.Now().Sub(r.firstAttempt), w.load.Classes[r.class].Objective.Std())
}

// endCall reports the end of a nested call to the run that made it.
func (w *world) endCall(r *request, served bool) {
	u := r.parent
	u.EndCall(r.shed)
	if !served {
		u.Fail()
	}
	u.calls--
	w.endIfDone(u)
}

// refuse ends a request without an answer. A caller with retries and time left retries after
// a pause, except that a class that may run only once isn't retried after a failed run.
func (w *world) refuse(r *request) {
	c := w.load.Classes[r.class]
	if r.repeatGranted {
		r.entry.account.Return(c.Service)
	}
	if r.parent != nil {
		w.endCall(r, false)
		return
	}
	refused := bfwalk.Refused{Objective: c.Objective.Std(), Used: r.attempt.Sub(r.firstAttempt), Left: r.deadline.Sub(w.agenda.Now())}
	pause := refused.RetryAfter(r.entry.sameDomain.Of(c.Service), w.random.Float64())
	if r.failed {
		pause = connectFailureDelay
	}
	if r.retries == 0 || r.failed && c.Once || !w.agenda.Now().Add(pause).Before(r.deadline) {
		w.report.recordUnanswered(r.class, r.failed)
		return
	}
	w.agenda.After(pause, func() {
		retry := w.newCallerRequest(r.class, r.entry)
		retry.key = r.key
		retry.serviceTime, retry.firstAttempt, retry.deadline, retry.retries = r.serviceTime, r.firstAttempt, r.deadline, r.retries-1
		w.tryNextTarget(retry)
	})
}
