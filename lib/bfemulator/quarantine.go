package bfemulator

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfquarantine"
)

// propagationDelay is how long a quarantine update takes to reach the other nodes.
const propagationDelay = 5 * time.Millisecond

// refuseQuarantined refuses a request that its entry node has in quarantine; false means that it may proceed.
func (w *world) refuseQuarantined(r *request) bool {
	view := r.entry.book.View()
	if !view.HasHeld() {
		return false
	}
	if _, held := view.Refuse(r.key, w.agenda.Now()); !held {
		return false
	}
	w.report.classes[r.class].Quarantined++
	w.refuse(r)
	return true
}

// admit reports whether a node passes a request on to its target, and whether the request is
// a suspect, of which a target runs one at a time.
func (w *world) admit(r *request, n *node) (isolated, admitted bool) {
	view := n.book.View()
	if !view.HasSuspects() {
		return false, true
	}
	switch view.Judge(r.key, w.agenda.Now()).(type) {
	case bfquarantine.Held:
		w.report.classes[r.class].Quarantined++
		return false, false
	case bfquarantine.Isolated:
		if n.isolating {
			return true, false
		}
		n.isolating = true
		return true, true
	}
	return false, true
}

// recordFinished updates the node's quarantine state at the end of a run.
func (w *world) recordFinished(u *run, served bool) {
	if u.isolated {
		u.node.isolating = false
	}
	if served {
		u.node.answers.Add(contentSum(u.request.key), w.agenda.Now())
	}
	if served && u.node.book.View().HasSuspects() {
		u.node.book.Answered(u.request.key, w.agenda.Now())
		w.broadcast(u.node)
	}
}

func contentSum(key bfquarantine.Key) uint64 { return binary.BigEndian.Uint64(key.Content[:]) }

// crashByRequest crashes the target of a run, and with it all other runs there.
func (w *world) crashByRequest(u *run) {
	if u.ended {
		return
	}
	content := u.request.key.Content
	w.report.crashTimes[content] = append(w.report.crashTimes[content], w.elapsed())
	u.node.downUntil = w.agenda.Now().Add(w.load.Restart.Std())
	w.crashTarget(u.node)
}

// crashTarget fails all runs of a target; its node records the requests that were running.
func (w *world) crashTarget(n *node) {
	w.crashes++
	var keys []bfquarantine.Key
	numbers := slices.Sorted(maps.Keys(n.running))
	for _, number := range numbers {
		if key := n.running[number].request.key; !n.answers.Has(contentSum(key), w.agenda.Now()) {
			keys = append(keys, key)
		}
	}
	n.book.Crashed(bfquarantine.CrashOf(fmt.Sprint(w.crashes)), keys, w.agenda.Now())
	w.broadcast(n)
	for _, number := range numbers {
		u := n.running[number]
		u.Fail()
		w.endIfDone(u)
	}
}

// broadcast sends a node's quarantine updates to the other nodes.
func (w *world) broadcast(from *node) {
	updates := from.book.TakeUpdates(w.agenda.Now())
	if len(updates) == 0 {
		return
	}
	w.agenda.After(propagationDelay, func() {
		for _, n := range w.nodes {
			if n != from {
				n.book.Merge(updates, w.agenda.Now())
			}
		}
	})
}
