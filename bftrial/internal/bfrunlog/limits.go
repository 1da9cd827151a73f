package bfrunlog

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Window is the length of the windows in which the requests of a limited target are counted.
const Window = 4 * time.Second

const (
	// limitFactor and limitSlack bound what a limited target may get in a window: the slack and the
	// factor times what its limit allows.
	limitFactor = 1.5
	limitSlack  = 5
	// limitDelay is how long after a target has named a limit it must be kept.
	limitDelay = time.Second
)

// Limits records the limits that a target names and the requests that reach it.
type Limits struct {
	mu       sync.Mutex
	arrivals []time.Time
	spans    []span
}

// span is a period in which a target names one limit; to is zero while it does.
type span struct {
	from, to  time.Time
	perSecond float64
}

// RecordArrival records that a request reached the target.
func (l *Limits) RecordArrival() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
}

// Set changes the named limit; 0 withdraws it.
func (l *Limits) Set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if last := len(l.spans) - 1; last >= 0 && l.spans[last].to.IsZero() {
		l.spans[last].to = now
	}
	if perSecond > 0 {
		l.spans = append(l.spans, span{from: now, perSecond: perSecond})
	}
}

// Current returns the limit named now, 0 for none.
func (l *Limits) Current() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := len(l.spans) - 1; last >= 0 && l.spans[last].to.IsZero() {
		return l.spans[last].perSecond
	}
	return 0
}

// Excess returns the largest number of requests beyond what was allowed in a window.
func (l *Limits) Excess() (excess int, arrived int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for first, from := range l.arrivals {
		to := from.Add(Window)
		allowed, limited := l.allowed(from, to)
		if !limited {
			continue
		}
		end, _ := slices.BinarySearchFunc(l.arrivals, to, time.Time.Compare)
		if more := end - first - int(math.Floor(allowed)); more > excess {
			excess, arrived, at = more, end-first, from
		}
	}
	return excess, arrived, at
}

// allowed returns how many requests a window allows; limited is false unless the target named limits
// all the time.
func (l *Limits) allowed(from, to time.Time) (requests float64, limited bool) {
	covered := time.Duration(0)
	for at, s := range l.spans {
		start, end := s.from, s.to
		if at == 0 || !l.spans[at-1].to.Equal(start) {
			start = start.Add(limitDelay)
		}
		if end.IsZero() {
			end = time.Now()
		}
		overlap := minTime(end, to).Sub(maxTime(start, from))
		if overlap > 0 {
			covered += overlap
			requests += limitFactor * s.perSecond * overlap.Seconds()
		}
	}
	return requests + limitSlack, covered >= to.Sub(from)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ArrivalsSince counts the requests that reached the target since a time.
func (l *Limits) ArrivalsSince(from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, _ := slices.BinarySearchFunc(l.arrivals, from, time.Time.Compare)
	return len(l.arrivals) - first
}
