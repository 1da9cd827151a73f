package bfslot

import (
	"cmp"
	"slices"
	"sort"
)

// The lanes of the queue, in order.
const (
	nestedLane = iota
	callerLane
	lanes
)

// lane holds the workspaces that have requests waiting in it.
type lane struct {
	waiting []*workspace
	// count is the number of waiting requests.
	count int
	// served is the highest count of the turns of a workspace.
	served uint64
}

// line holds the waiting requests of one workspace in one lane, by compareTickets.
type line struct {
	tickets []*Ticket
	// served is the highest count of the turns of a class.
	served uint64
}

// compareTickets orders waiting requests of one workspace by rank. Within a rank the shortest
// expected hold time goes first, which serves the most requests when not all can be served.
func compareTickets(a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(a.request.Rank, b.request.Rank),
		cmp.Compare(a.expected, b.expected),
		cmp.Compare(a.arrived, b.arrived),
	)
}

// serve counts the turn of a request that gets a slot.
func (l *lane) serve(t *Ticket) {
	t.workspace.turns[t.lane].serve(&l.served)
	if t.class != nil {
		t.class.turns.serve(&t.workspace.lines[t.lane].served)
	}
}

// insert adds a request to its line.
func (q *Queue) insert(t *Ticket) {
	w, at := t.workspace, &q.lanes[t.lane]
	l := &w.lines[t.lane]
	if len(l.tickets) == 0 {
		at.waiting = append(at.waiting, w)
		w.turns[t.lane].begin(at.served)
	}
	place, _ := slices.BinarySearchFunc(l.tickets, t, compareTickets)
	l.tickets = slices.Insert(l.tickets, place, t)
	at.count++
	if t.class != nil {
		if t.class.waiting == 0 {
			t.class.turns.begin(l.served)
		}
		t.class.waiting++
	}
}

// remove takes a request out of its line, and reports whether it was there.
func (q *Queue) remove(t *Ticket) bool {
	w, in := t.workspace, &q.lanes[t.lane]
	l := &w.lines[t.lane]
	at := slices.Index(l.tickets, t)
	if at < 0 {
		return false
	}
	l.tickets = slices.Delete(l.tickets, at, at+1)
	in.count--
	if len(l.tickets) == 0 {
		in.waiting = slices.DeleteFunc(in.waiting, func(other *workspace) bool { return other == w })
	}
	if t.class != nil {
		t.class.waiting--
	}
	return true
}

// first returns the request of a workspace in a lane that goes first: one of a class that is due for its
// minimum share, else the first in order.
func (q *Queue) first(w *workspace, lane int) *Ticket {
	l := &w.lines[lane]
	if len(w.classes) > 1 {
		for _, t := range l.tickets {
			if t.class != nil && t.class.turns.areDue(q.acceptance, l.served) {
				return t
			}
		}
	}
	return l.tickets[0]
}

// next returns the request that gets the next slot.
func (q *Queue) next() *Ticket {
	for at := range q.lanes {
		var best *Ticket
		var bestStanding standing
		for _, w := range q.lanes[at].waiting {
			t := q.first(w, at)
			if s := q.standing(w, t, 0); best == nil || s.compare(bestStanding) < 0 {
				best, bestStanding = t, s
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// place returns the number of requests of its own workspace that go before t.
func (q *Queue) place(t *Ticket) int {
	l := &t.workspace.lines[t.lane]
	if t.class != nil && t.class.turns.wereDenied(q.acceptance) && t.class.waiting == 0 {
		return 0
	}
	at, _ := slices.BinarySearchFunc(l.tickets, t, compareTickets)
	return at
}

// ahead returns the number of waiting requests that are expected to go before t, of which place
// are of its own workspace.
func (q *Queue) ahead(t *Ticket, place int) int {
	count := place
	if t.lane == callerLane {
		count += q.lanes[nestedLane].count
	}
	own := q.standing(t.workspace, t, place)
	for _, w := range q.lanes[t.lane].waiting {
		if w == t.workspace {
			continue
		}
		tickets := w.lines[t.lane].tickets
		count += sort.Search(len(tickets), func(at int) bool { return q.standing(w, tickets[at], at).compare(own) > 0 })
	}
	return count
}
