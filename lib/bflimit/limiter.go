package bflimit

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minPerSecond is the rate of a target that names a lower limit, also zero: only its answers
	// tell when the limit has ended.
	minPerSecond = 0.25
	// burstTime is the time whose requests may come at once, beside minBurst.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// lateReserve is how many requests a late one must leave room for: it is lost to its caller
	// already, and others would become late by it.
	lateReserve = 1
)

// Limiter admits requests to one start of a target at the rate that the target names. It is not
// safe for concurrent use.
type Limiter struct {
	// tokens is nil while there is no limit.
	tokens *rate.Limiter
}

// Request holds the properties of a request that a Limiter uses.
type Request struct {
	// Late is set for a request that is expected to miss its latency objective.
	Late bool
	// MaxWait is how long the request may wait until it is sent.
	MaxWait time.Duration
}

// LimitedError is returned for a request beyond the limit.
type LimitedError struct {
	// RetryAfter is the time until the target takes another request.
	RetryAfter time.Duration
}

// Error returns the message with the time to retry after.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("target's limit reached, retry after %v", e.RetryAfter)
}

// Permit allows one request to be sent after a wait.
type Permit struct {
	wait   time.Duration
	tokens *rate.Reservation
}

// Wait returns how long after Admit the request may be sent.
func (p Permit) Wait() time.Duration { return p.wait }

// cancel gives back the permit of a request that was not sent.
func (p Permit) cancel(now time.Time) {
	if p.tokens != nil {
		p.tokens.CancelAt(now)
	}
}

// Set changes the limit. A target that names its first limit is in need: it gets no burst.
func (l *Limiter) Set(limit Statement, now time.Time) {
	switch limit := limit.(type) {
	case Unlimited:
		l.tokens = nil
	case PerSecond:
		perSecond := max(float64(limit), minPerSecond)
		burst := minBurst + int(math.Floor(perSecond*burstTime.Seconds()))
		if l.tokens == nil {
			l.tokens = rate.NewLimiter(rate.Limit(perSecond), burst)
			l.tokens.AllowN(now, burst)
			return
		}
		l.tokens.SetLimitAt(now, rate.Limit(perSecond))
		l.tokens.SetBurstAt(now, burst)
	}
}

// Admit returns a permit to send a request. It returns a LimitedError if the limit allows none within
// the wait of the request.
func (l *Limiter) Admit(request Request, now time.Time) (Permit, error) {
	if l.tokens == nil {
		return Permit{}, nil
	}
	if missing := 1 + lateReserve - l.tokens.TokensAt(now); request.Late && missing > 0 {
		return Permit{}, &LimitedError{RetryAfter: l.timeFor(missing)}
	}
	reservation := l.tokens.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > request.MaxWait {
		reservation.CancelAt(now)
		return Permit{}, &LimitedError{RetryAfter: wait}
	}
	return Permit{wait: wait, tokens: reservation}, nil
}

// timeFor returns the time in which the limit allows a number of requests.
func (l *Limiter) timeFor(requests float64) time.Duration {
	return time.Duration(requests / float64(l.tokens.Limit()) * float64(time.Second))
}

// Slots returns how many of a target's slots the limit lets requests use that hold one for a time.
func (l *Limiter) Slots(slots int, hold time.Duration) int {
	if l.tokens == nil {
		return slots
	}
	used := math.Ceil(float64(l.tokens.Limit()) * hold.Seconds())
	return min(slots, max(int(used), 1))
}
