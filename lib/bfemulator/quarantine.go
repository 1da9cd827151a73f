package bfemulator

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfquarantine"
)

// tellWay is how long it takes until the other nodes know what one has learned.
const tellWay = 5 * time.Millisecond

// holds refuses a request that its entry knows to be held.
func (w *world) holds(r *request) bool {
	view := r.entry.book.View()
	if !view.HasHeld() {
		return false
	}
	if _, held := view.Refuse(r.key, w.agenda.Now()); !held {
		return false
	}
	w.report.classes[r.class].Held++
	w.refuse(r)
	return true
}

// takes reports whether a node hands a request to its target, and whether that runs apart.
func (w *world) takes(r *request, n *node) (apart, taken bool) {
	view := n.book.View()
	if !view.HasSuspects() {
		return false, true
	}
	switch view.Judge(r.key, w.agenda.Now()).(type) {
	case bfquarantine.Held:
		w.report.classes[r.class].Held++
		return false, false
	case bfquarantine.Isolated:
		if n.apart {
			return true, false
		}
		n.apart = true
		return true, true
	}
	return false, true
}

// finished takes the end of a run.
func (w *world) finished(u *run, served bool) {
	if u.apart {
		u.node.apart = false
	}
	if served {
		u.node.answers.Add(sumOf(u.request.key), w.agenda.Now())
	}
	if served && u.node.book.View().HasSuspects() {
		u.node.book.Answered(u.request.key, w.agenda.Now())
		w.tell(u.node)
	}
}

func sumOf(key bfquarantine.Key) uint64 { return binary.BigEndian.Uint64(key.Content[:]) }

// endTarget ends the target of a run, and all else that it works on.
func (w *world) endTarget(u *run) {
	if u.ended {
		return
	}
	content := u.request.key.Content
	w.report.ends[content] = append(w.report.ends[content], w.passed())
	u.node.away = w.agenda.Now().Add(w.load.Restart.Std())
	w.lose(u.node)
}

// lose ends all that a target works on; its node notes what ran there.
func (w *world) lose(n *node) {
	w.crashes++
	var keys []bfquarantine.Key
	numbers := slices.Sorted(maps.Keys(n.running))
	for _, number := range numbers {
		if key := n.running[number].request.key; !n.answers.Has(sumOf(key), w.agenda.Now()) {
			keys = append(keys, key)
		}
	}
	n.book.Crashed(bfquarantine.CrashOf(fmt.Sprint(w.crashes)), keys, w.agenda.Now())
	w.tell(n)
	for _, number := range numbers {
		u := n.running[number]
		u.Fail()
		w.settle(u)
	}
}

// tell has the other nodes hear of what one has learned.
func (w *world) tell(from *node) {
	news := from.book.TakeUpdates(w.agenda.Now())
	if len(news) == 0 {
		return
	}
	w.agenda.After(tellWay, func() {
		for _, n := range w.nodes {
			if n != from {
				n.book.Merge(news, w.agenda.Now())
			}
		}
	})
}
