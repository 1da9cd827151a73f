package bfslot

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// Request is what the gate needs to know of a request.
type Request struct {
	// Class labels requests of one kind; their running times are learned together.
	Class string
	// Nested says that a target makes the request while it runs another one.
	Nested bool
	// Rank orders requests that wait; 0 goes first.
	Rank int
	// Late says that the request is expected to miss its objective.
	Late bool
	// Patience is how long the request may wait for a slot.
	Patience time.Duration
}

// FullError reports a request that got no slot.
type FullError struct {
	// RetryAfter is when a slot is expected to be free.
	RetryAfter time.Duration
}

// Error gives the time to come back.
func (e *FullError) Error() string { return fmt.Sprintf("no slot, come back in %v", e.RetryAfter) }

// Gate hands out the slots of one target.
type Gate struct {
	timer *bftimer.Service

	mu      sync.Mutex
	slots   int
	used    int
	waiting []*waiter
	arrived uint64
	// running is the mean time that requests of a class hold a slot.
	running map[string]time.Duration
}

type waiter struct {
	request Request
	arrived uint64
	// expected is how long the request is expected to hold a slot.
	expected time.Duration
	granted  chan bool
}

// New makes a gate with no slots; Resize gives it some.
func New(timer *bftimer.Service) *Gate {
	return &Gate{timer: timer, running: map[string]time.Duration{}}
}

// Resize sets the number of slots.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.admit()
}

// Load is how many slots are in use, requests that wait included, and how many there are.
func (g *Gate) Load() (used, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used + len(g.waiting), g.slots
}

// Running is how long a request of a class holds a slot in the mean, 0 where none has.
func (g *Gate) Running(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[class]
}

// Slot is one request's place at the target; Release gives it back.
type Slot struct {
	gate  *Gate
	class string
	since time.Time
	once  sync.Once
}

// Acquire gives the request a slot at once or within its patience. Its errors
// are FullError and ctx's.
func (g *Gate) Acquire(ctx context.Context, request Request) (*Slot, error) {
	w, err := g.enter(request)
	if err != nil {
		return nil, err
	}
	if w == nil {
		return g.slot(request), nil
	}
	expiry := g.timer.After(request.Patience, func(time.Time) { g.leave(w) })
	defer expiry.Stop()
	select {
	case granted := <-w.granted:
		if !granted {
			return nil, g.full()
		}
		return g.slot(request), nil
	case <-ctx.Done():
		g.leave(w)
		if <-w.granted {
			g.slot(request).Release()
		}
		return nil, ctx.Err()
	}
}

func (g *Gate) slot(request Request) *Slot {
	return &Slot{gate: g, class: request.Class, since: g.timer.Now()}
}

// enter takes a slot, or gives the waiter that stands for the request.
func (g *Gate) enter(request Request) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.used < g.slots-g.reserve(request) {
		g.used++
		return nil, nil
	}
	if request.Patience <= 0 || request.Late || g.slots == 0 {
		return nil, &FullError{RetryAfter: g.nextFree()}
	}
	g.arrived++
	w := &waiter{request: request, arrived: g.arrived, expected: g.expected(request.Class), granted: make(chan bool, 1)}
	at, _ := slices.BinarySearchFunc(g.waiting, w, order)
	g.waiting = slices.Insert(g.waiting, at, w)
	return w, nil
}

// lateReserve is the part of the slots that late requests leave free. In a fleet
// that has more to do than it can, they take each slot that comes free as often as
// fresh ones do, and make those late in turn; the fleet stays late for as long as
// callers go on asking.
const lateReserve = 0.15

// reserve is how many slots the request leaves free.
func (g *Gate) reserve(request Request) int {
	if !request.Late {
		return 0
	}
	return int(math.Ceil(lateReserve * float64(g.slots)))
}

// order puts nested calls first, then higher ranks. Among equal ranks the one that
// is expected to hold a slot for the shortest time goes first: where not all can
// be served, most are so.
func order(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(nestedFirst(a), nestedFirst(b)),
		cmp.Compare(a.request.Rank, b.request.Rank),
		cmp.Compare(a.expected, b.expected),
		cmp.Compare(a.arrived, b.arrived),
	)
}

func nestedFirst(w *waiter) int {
	if w.request.Nested {
		return 0
	}
	return 1
}

// leave ends a wait without a slot, unless it was granted one already.
func (g *Gate) leave(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at := slices.Index(g.waiting, w); at >= 0 {
		g.waiting = slices.Delete(g.waiting, at, at+1)
		w.granted <- false
	}
}

func (g *Gate) full() *FullError {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &FullError{RetryAfter: g.nextFree()}
}

// usualRunning stands for a running time as long as none was measured.
const usualRunning = 100 * time.Millisecond

// expected is how long a request of the class is expected to hold a slot; it needs the lock.
func (g *Gate) expected(class string) time.Duration {
	if mean, known := g.running[class]; known {
		return mean
	}
	return usualRunning
}

// nextFree is when a slot is expected for one more request, given those that wait.
func (g *Gate) nextFree() time.Duration {
	var sum time.Duration
	for _, mean := range g.running {
		sum += mean
	}
	mean := usualRunning
	if len(g.running) > 0 {
		mean = sum / time.Duration(len(g.running))
	}
	return mean * time.Duration(1+len(g.waiting)) / time.Duration(max(g.slots, 1))
}

// admit gives free slots to those that wait; it needs the lock.
func (g *Gate) admit() {
	for g.used < g.slots && len(g.waiting) > 0 {
		first := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		g.used++
		first.granted <- true
	}
}

// learnShare is how much one request counts in the mean of its class: about the last ten decide.
const learnShare = 10

// Release gives the slot back.
func (s *Slot) Release() {
	s.once.Do(func() {
		g := s.gate
		held := g.timer.Now().Sub(s.since)
		g.mu.Lock()
		defer g.mu.Unlock()
		if mean, known := g.running[s.class]; known {
			g.running[s.class] = mean + (held-mean)/learnShare
		} else {
			g.running[s.class] = held
		}
		g.used--
		g.admit()
	})
}
