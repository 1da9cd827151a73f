package bfslot

import (
	"context"
	"sync"
	"time"

	"bilberryflow.org/lib/bfroom"
	"bilberryflow.org/lib/bftimer"
)

// Gate hands out the slots of one target in the order given by its Queue. It is safe
// for concurrent use.
type Gate struct {
	timer *bftimer.Service

	mu    sync.Mutex
	queue *Queue
	// room is the learned limit of the target, start the start of the target that it is of.
	room  bfroom.Room
	start string
	// learns is set if resets lower the room.
	learns bool
	// outcomes has a channel for each waiting request. It receives nil when the request
	// gets a slot, and an error when its wait times out or another request displaces it.
	outcomes map[*Ticket]chan *FullError
}

// New returns a gate without slots; call Resize to add some.
func New(timer *bftimer.Service) *Gate {
	return &Gate{timer: timer, queue: NewQueue(0), outcomes: map[*Ticket]chan *FullError{}}
}

// Resize sets the number of slots and admits waiting requests to the free ones.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.Announce(slots)
	g.applyLimit()
}

// Load returns the number of running and waiting requests, and the number of slots.
func (g *Gate) Load() (used, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load()
}

// MeanHold returns the moving average of how long requests of a class hold a slot, or 0
// before the first one has released its slot.
func (g *Gate) MeanHold(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.MeanHold(class)
}

// OverallMeanHold returns how long a request of any class is expected to hold a slot.
func (g *Gate) OverallMeanHold() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.OverallMeanHold()
}

// Slot is a slot held by one request until Release.
type Slot struct {
	gate    *Gate
	request Request
	since   time.Time
	once    sync.Once
	// run, outcome and left are guarded by the gate: left is set once the room doesn't count the
	// request any more.
	run     bfroom.Run
	outcome outcome
	left    bool
}

// Acquire returns a slot, waiting for it for at most request.MaxWait. It returns a
// FullError if no slot is free in time, or the error of ctx.
func (g *Gate) Acquire(ctx context.Context, request Request) (*Slot, error) {
	ticket, outcome, err := g.enter(request)
	if err != nil {
		return nil, err
	}
	if ticket == nil {
		return g.slot(request), nil
	}
	expiry := g.timer.After(request.MaxWait, func(time.Time) { g.leave(ticket) })
	defer expiry.Stop()
	select {
	case full := <-outcome:
		if full != nil {
			return nil, full
		}
		return g.slot(request), nil
	case <-ctx.Done():
		g.leave(ticket)
		if <-outcome == nil {
			g.slot(request).Release()
		}
		return nil, ctx.Err()
	}
}

func (g *Gate) slot(request Request) *Slot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Slot{gate: g, request: request, since: g.timer.Now(), run: g.room.Begin(request.MayProbe)}
}

// enter takes a free slot and returns a nil ticket, or queues the request and returns
// its ticket and the channel that reports the outcome of the wait.
func (g *Gate) enter(request Request) (*Ticket, <-chan *FullError, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.timer.Now()
	g.queue.Advance(now)
	if request.MayProbe && g.room.IsProbeDue(now) {
		request.extra = 1
	}
	ticket, err := g.queue.Enter(request)
	for _, displaced := range g.queue.TakeDisplaced() {
		g.notify(displaced.Ticket, displaced.Err)
	}
	if err != nil || ticket == nil {
		return nil, nil, err
	}
	outcome := make(chan *FullError, 1)
	g.outcomes[ticket] = outcome
	return ticket, outcome, nil
}

// leave ends a wait without a slot, unless a slot was already granted.
func (g *Gate) leave(ticket *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Advance(g.timer.Now())
	if g.queue.Leave(ticket) {
		g.notify(ticket, g.queue.Full(ticket))
	}
}

// admit notifies the requests that got a slot. The caller must hold mu.
func (g *Gate) admit(tickets []*Ticket) {
	for _, ticket := range tickets {
		g.notify(ticket, nil)
	}
}

// notify sends the outcome of a wait. The caller must hold mu.
func (g *Gate) notify(ticket *Ticket, outcome *FullError) {
	g.outcomes[ticket] <- outcome
	delete(g.outcomes, ticket)
}

// Release gives the slot back; further calls do nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		g := s.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		s.leaveRoom()
		now := g.timer.Now()
		g.queue.Advance(now)
		g.admit(g.queue.ReleaseFor(s.request, now.Sub(s.since)))
	})
}
