package bfslot

import (
	"context"
	"sync"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// Gate hands out the slots of one target, as its Queue decides.
type Gate struct {
	timer *bftimer.Service

	mu    sync.Mutex
	queue *Queue
	// granted has a channel for each request that waits: true for a slot, false for none.
	granted map[*Ticket]chan bool
}

// New makes a gate with no slots; Resize gives it some.
func New(timer *bftimer.Service) *Gate {
	return &Gate{timer: timer, queue: NewQueue(0), granted: map[*Ticket]chan bool{}}
}

// Resize sets the number of slots.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admit(g.queue.Resize(slots))
}

// Load is how many slots are in use, requests that wait included, and how many there are.
func (g *Gate) Load() (used, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

// Running is how long a request of a class holds a slot in the mean, 0 where none has.
func (g *Gate) Running(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Running(class)
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
	ticket, granted, err := g.enter(request)
	if err != nil {
		return nil, err
	}
	if ticket == nil {
		return g.slot(request), nil
	}
	expiry := g.timer.After(request.Patience, func(time.Time) { g.leave(ticket) })
	defer expiry.Stop()
	select {
	case has := <-granted:
		if !has {
			return nil, g.full()
		}
		return g.slot(request), nil
	case <-ctx.Done():
		g.leave(ticket)
		if <-granted {
			g.slot(request).Release()
		}
		return nil, ctx.Err()
	}
}

func (g *Gate) slot(request Request) *Slot {
	return &Slot{gate: g, class: request.Class, since: g.timer.Now()}
}

// enter takes a slot, or gives the ticket that stands for the request and its channel.
func (g *Gate) enter(request Request) (*Ticket, <-chan bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, err := g.queue.Enter(request)
	if err != nil || ticket == nil {
		return nil, nil, err
	}
	granted := make(chan bool, 1)
	g.granted[ticket] = granted
	return ticket, granted, nil
}

// leave ends a wait without a slot, unless it was granted one already.
func (g *Gate) leave(ticket *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Leave(ticket) {
		g.tell(ticket, false)
	}
}

func (g *Gate) full() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Full()
}

// admit tells those that got a slot; it needs the lock.
func (g *Gate) admit(tickets []*Ticket) {
	for _, ticket := range tickets {
		g.tell(ticket, true)
	}
}

// tell needs the lock.
func (g *Gate) tell(ticket *Ticket, has bool) {
	g.granted[ticket] <- has
	delete(g.granted, ticket)
}

// Release gives the slot back.
func (s *Slot) Release() {
	s.once.Do(func() {
		g := s.gate
		held := g.timer.Now().Sub(s.since)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.admit(g.queue.Release(s.class, held))
	})
}
