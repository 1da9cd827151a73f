package bfsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bilberryflow.org/lib/bftraffic"
)

const (
	// drainBound is how long after the acknowledgement of its leaving a target may
	// still begin to run a request.
	drainBound = 2 * time.Second
	// answerBound is how long after its route's timeout a request may be without a
	// final answer; the rest is the machine's, which runs all processes at once.
	answerBound = time.Second
	// applyBound is how long a version may take on a node that nothing harms.
	applyBound = 3 * time.Second
)

// watchNode asks for the newest route: it must be there in time, and what was
// seen of a process must not be missing later.
func (w *world) watchNode(ctx context.Context, client *http.Client, n *nodeSlot) {
	process := n.process.Process()
	w.mu.Lock()
	newest, seen := w.version, w.seen[process]
	late := time.Since(w.acked[newest]) > applyBound && time.Since(w.disturbed) > applyBound+settleTime
	w.mu.Unlock()
	o := w.ask(ctx, client, n, true, fmt.Sprintf("v%d", newest))
	switch {
	case process != n.process.Process():
		// Another process answered, or none.
	case o.status == http.StatusOK:
		w.mu.Lock()
		w.seen[process] = newest
		w.mu.Unlock()
	case o.status == http.StatusNotFound && seen >= newest:
		w.violate("node %s went back: version %d was seen and is gone", process.Name(), seen)
	case o.status == http.StatusNotFound && late && !n.during(o.began.Add(-applyBound), o.ended, false) && !n.during(o.began.Add(-applyBound), o.ended, true):
		w.violate("node %s lacks version %d %v after it was written", process.Name(), newest, time.Since(w.ackedAt(newest)))
	}
}

func (w *world) ackedAt(v bftraffic.Version) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acked[v]
}

// check holds what callers and targets saw against the promises.
func (w *world) check() {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	served := 0
	for _, o := range w.record.all {
		w.checkOutcome(o)
		if o.status == http.StatusOK {
			served++
		}
	}
	fmt.Fprintf(w.out, "%d requests, %d served\n", len(w.record.all), served)
	if served*2 < len(w.record.all) {
		w.violate("only %d of %d requests were served", served, len(w.record.all))
	}
	w.checkCrashing()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for incarnation, left := range w.ledger.leaving {
		if last := w.ledger.last[incarnation]; last.Sub(left) > drainBound {
			w.violate("target %s began a request %v after its leaving was acknowledged", incarnation, last.Sub(left))
		}
	}
}

func (w *world) checkOutcome(o outcome) {
	runs := w.ledger.count(o.id)
	calm := !o.node.during(o.began, o.ended, false)
	switch {
	case o.wrong != "":
		w.violate("%s got an answer that is not its own: %s", o.id, o.wrong)
	case !o.repeatable && runs > 1:
		w.violate("%s ran %d times", o.id, runs)
	case (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && runs > 0 && !o.repeatable:
		w.violate("%s was told that it has not run, and ran %d times", o.id, runs)
	case o.status == http.StatusOK && runs == 0:
		w.violate("%s was answered and never ran", o.id)
	case calm && o.ended.Sub(o.began) > routeTimeout+answerBound:
		w.violate("%s waited %v", o.id, o.ended.Sub(o.began))
	case calm && o.err != nil && runs > 0 && o.node.during(o.began, o.ended, true) && !w.anyHarm(o):
		w.violate("%s was passed on and cut by planned work: %v", o.id, o.err)
	case o.status >= 300 && o.status < 500 && o.status != http.StatusTooManyRequests:
		w.violate("%s was denied with %d", o.id, o.status)
	}
}

// anyHarm reports whether an unplanned fault met any node during the request.
func (w *world) anyHarm(o outcome) bool {
	for _, n := range w.nodes {
		if n.during(o.began, o.ended, false) {
			return true
		}
	}
	return false
}
