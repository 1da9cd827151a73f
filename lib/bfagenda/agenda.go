package bfagenda

import (
	"container/heap"
	"time"
)

// Agenda is the event queue and virtual clock of a simulation. It is not safe for concurrent use.
type Agenda struct {
	now   time.Time
	order uint64
	due   events
}

// New returns an empty agenda whose clock starts at begin.
func New(begin time.Time) *Agenda { return &Agenda{now: begin} }

// Now returns the virtual time: the time of the event being run.
func (a *Agenda) Now() time.Time { return a.now }

// After schedules do at d from now. Events of the same time run in the order of scheduling.
func (a *Agenda) After(d time.Duration, do func()) {
	a.order++
	heap.Push(&a.due, &event{at: a.now.Add(d), order: a.order, do: do})
}

// Run runs events in the order of their times, including events they schedule, until none is left.
func (a *Agenda) Run() {
	for a.due.Len() > 0 {
		next := heap.Pop(&a.due).(*event)
		a.now = next.at
		next.do()
	}
}

// event is a function scheduled at a time.
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

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
