package bfhost

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"bilberryflow.org/lib/bflimit"
)

// LimitChange is a change of what the target says about its limit, for logs.
type LimitChange struct {
	// Incarnation is that of the target.
	Incarnation string
	// Limit is the new limit, nil if the answer's could not be read.
	Limit bflimit.Statement
	// Err is why it could not be read.
	Err error
}

// targetLimit is the limit that the running start of the target has named.
type targetLimit struct {
	mu sync.Mutex
	// incarnation and started identify the start.
	incarnation string
	started     time.Time
	// limit is the latest statement, nil before the first answer of the start.
	limit bflimit.Statement
	// namedAt is when the latest answer with a limit arrived.
	namedAt time.Time
	limiter bflimit.Limiter
}

// observe applies an answer's statement; changed reports whether the limit differs now.
//
// Answers can overtake each other. One without a limit ends the limit only if its request was sent
// after the limit was named.
func (l *targetLimit) observe(target *Target, said bflimit.Statement, sent, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(target)
	if _, named := said.(bflimit.PerSecond); named {
		l.namedAt = now
	} else if sent.Before(l.namedAt) {
		return false
	}
	before := l.limit
	if before == said {
		return false
	}
	l.limit = said
	l.limiter.Set(said, now)
	return before != nil || said != bflimit.Statement(bflimit.Unlimited{})
}

// follow forgets the limit of an earlier start of the target. l.mu must be held.
func (l *targetLimit) follow(target *Target) {
	if l.incarnation == target.Incarnation() && l.started.Equal(target.Started()) {
		return
	}
	l.incarnation, l.started = target.Incarnation(), target.Started()
	l.limit, l.namedAt, l.limiter = nil, time.Time{}, bflimit.Limiter{}
}

// adopt applies the limit that another node knows, if no answer of the target has arrived since its
// start or this node's: a node that restarts must not forget a limit that its target has named.
func (l *targetLimit) adopt(target *Target, known bflimit.Statement, now time.Time) {
	if _, named := known.(bflimit.PerSecond); !named {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(target)
	if l.limit == nil {
		l.limit, l.namedAt = known, now
		l.limiter.Set(known, now)
	}
}

// admit returns a permit for one request, or a bflimit.LimitedError.
func (l *targetLimit) admit(target *Target, request bflimit.Request, now time.Time) (bflimit.Permit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(target)
	return l.limiter.Admit(request, now)
}

// cancel gives back the permit of a request that was not sent.
func (l *targetLimit) cancel(permit bflimit.Permit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	permit.Cancel(now)
}

// slots returns how many slots the limit lets requests use, and the limit itself, nil for none.
func (l *targetLimit) slots(slots int, hold time.Duration) (usable int, limit bflimit.Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, named := l.limit.(bflimit.PerSecond); named {
		limit = l.limit
	}
	return l.limiter.Slots(slots, hold), limit
}

// Capacity is the load of the target as entries should see it: its slots in use, those that its
// limit lets requests use, and that limit, nil if it names none.
func (h *Host) Capacity() (used, slots int, limit bflimit.Statement) {
	used, slots = h.gate.Load()
	slots, limit = h.limit.slots(slots, h.gate.OverallMeanHold())
	return used, slots, limit
}

// awaitPermit waits until the target's limit allows the job. It returns a Refused if it does not
// within the job's wait, and an Expired if ctx ends first.
func (h *Host) awaitPermit(ctx context.Context, target *Target, job Job) (bflimit.Permit, Result) {
	now := h.config.Timer.Now()
	h.limit.adopt(target, job.KnownLimit, now)
	permit, err := h.limit.admit(target, bflimit.Request{Late: job.Policy.Late, MaxWait: job.Policy.MaxSlotWait}, now)
	var limited *bflimit.LimitedError
	if errors.As(err, &limited) {
		return permit, Refused{Reason: Limited, RetryAfter: limited.RetryAfter}
	}
	if permit.Wait() > 0 && h.config.Timer.Wait(ctx, permit.Wait()) != nil {
		h.cancelPermit(permit)
		return permit, Expired{}
	}
	return permit, nil
}

func (h *Host) cancelPermit(permit bflimit.Permit) { h.limit.cancel(permit, h.config.Timer.Now()) }

// observeLimit applies what the header of the target's answer says about its limit.
func (h *Host) observeLimit(target *Target, header http.Header, sent time.Time) {
	if h.config.Names.Limit == "" {
		return
	}
	said, err := bflimit.Parse(header[h.config.Names.Limit])
	if err != nil {
		h.config.LimitChanged(LimitChange{Incarnation: target.Incarnation(), Err: err})
		return
	}
	if h.limit.observe(target, said, sent, h.config.Timer.Now()) {
		h.config.LimitChanged(LimitChange{Incarnation: target.Incarnation(), Limit: said})
	}
}
