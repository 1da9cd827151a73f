package bflimit

import (
	"sync"
	"time"
)

// Keeper keeps the limit that the running start of a target names, from its answers. It is safe for
// concurrent use.
type Keeper struct {
	mu    sync.Mutex
	start Start
	// limit is the latest statement, nil before the first answer of the start.
	limit Statement
	// namedAt is when the latest answer with a limit arrived.
	namedAt time.Time
	limiter Limiter
}

// Observe applies the statement of an answer to a request that was sent at a time; changed reports
// whether the limit differs now.
//
// Answers can overtake each other. One without a limit ends the limit only if its request was sent
// after the limit was named.
func (k *Keeper) Observe(start Start, said Statement, sent, now time.Time) (changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.follow(start)
	if _, named := said.(PerSecond); named {
		k.namedAt = now
	} else if sent.Before(k.namedAt) {
		return false
	}
	before := k.limit
	if before == said {
		return false
	}
	k.limit = said
	k.limiter.Set(said, now)
	return before != nil || said != Statement(Unlimited{})
}

// follow forgets the limit of an earlier start. k.mu must be held.
func (k *Keeper) follow(start Start) {
	if !k.start.Equal(start) {
		k.start, k.limit, k.namedAt, k.limiter = start, nil, time.Time{}, Limiter{}
	}
}

// Adopt applies a limit that another node knows of a start, if that is the running one and no answer of
// it has arrived yet: a node that restarts must not forget a limit that its target has named.
func (k *Keeper) Adopt(start Start, known Known, now time.Time) {
	if _, named := known.Limit.(PerSecond); !named || !start.Equal(known.Start) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.follow(start)
	if k.limit == nil {
		k.limit, k.namedAt = known.Limit, now
		k.limiter.Set(known.Limit, now)
	}
}

// Admit returns a permit to send a request to a start. Its error is LimitedError.
func (k *Keeper) Admit(start Start, request Request, now time.Time) (Permit, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.follow(start)
	return k.limiter.Admit(request, now)
}

// Cancel gives back the permit of a request that was not sent.
func (k *Keeper) Cancel(permit Permit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	permit.cancel()
}

// Slots returns how many of a target's slots the limit lets requests use that hold one for a time.
func (k *Keeper) Slots(slots int, hold time.Duration) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Slots(slots, hold)
}

// Known is the limit that a start of a target has named, as nodes exchange it; nil is none.
type Known struct {
	Start Start
	Limit Statement
}

// Known returns the limit in force.
func (k *Keeper) Known() Known {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, named := k.limit.(PerSecond); named {
		return Known{Start: k.start, Limit: k.limit}
	}
	return Known{}
}
