package bfagenda

import (
	"container/heap"
	"time"
)

// Agenda is the events of a simulation; it is not safe for concurrent use.
type Agenda struct {
	now   time.Time
	order uint64
	due   events
}

// New makes the empty agenda of a simulation that begins at a time.
func New(begin time.Time) *Agenda { return &Agenda{now: begin} }

// Now is the simulation's time: that of the event that happens.
func (a *Agenda) Now() time.Time { return a.now }

// After has something happen after a time. Events of one moment happen in the order in
// which they were put down.
func (a *Agenda) After(d time.Duration, do func()) {
	a.order++
	heap.Push(&a.due, &event{at: a.now.Add(d), order: a.order, do: do})
}

// Run has all events happen, and those that they put down, until none is left.
func (a *Agenda) Run() {
	for a.due.Len() > 0 {
		next := heap.Pop(&a.due).(*event)
		a.now = next.at
		next.do()
	}
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for container/heap only.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop is for container/heap only.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
