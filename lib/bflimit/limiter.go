package bflimit

import (
	"fmt"
	"math"
	"time"
)

const (
	// minPerSecond is the rate of a target that names a lower limit, also zero: only an answer
	// shows that the limit has ended.
	minPerSecond = 0.25
	// burstTime is the time whose requests may come at once, beside minBurst.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// lateReserve is how many requests a late one must leave room for, since those would become late
	// by it.
	lateReserve = 1
)

// Limiter admits requests to one start of a target at the rate that the target names. It is not
// safe for concurrent use.
type Limiter struct {
	// bucket is nil while there is no limit.
	bucket *bucket
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
	wait time.Duration
	from *bucket
}

// Wait returns how long after Admit the request may be sent.
func (p Permit) Wait() time.Duration { return p.wait }

// cancel gives back the permit of a request that was not sent.
func (p Permit) cancel() {
	if p.from != nil {
		p.from.tokens++
	}
}

// Set changes the limit. A target that names its first limit is in need: it gets no burst.
func (l *Limiter) Set(limit Statement, now time.Time) {
	switch limit := limit.(type) {
	case Unlimited:
		l.bucket = nil
	case PerSecond:
		perSecond := max(float64(limit), minPerSecond)
		if l.bucket == nil {
			l.bucket = &bucket{at: now}
		}
		l.bucket.fill(now)
		l.bucket.perSecond, l.bucket.burst = perSecond, minBurst+perSecond*burstTime.Seconds()
	}
}

// Admit returns a permit to send a request. It returns a LimitedError if the limit allows none within
// the wait of the request.
func (l *Limiter) Admit(request Request, now time.Time) (Permit, error) {
	if l.bucket == nil {
		return Permit{}, nil
	}
	l.bucket.fill(now)
	needed, maxWait := 1.0, request.MaxWait
	if request.Late {
		needed, maxWait = 1+lateReserve, 0
	}
	if wait := l.bucket.waitFor(needed); wait > maxWait {
		return Permit{}, &LimitedError{RetryAfter: wait}
	}
	wait := l.bucket.waitFor(1)
	l.bucket.tokens--
	return Permit{wait: wait, from: l.bucket}, nil
}

// bucket is a token bucket. Its tokens are negative while permitted requests wait.
type bucket struct {
	perSecond, burst, tokens float64
	// at is the time as of which tokens is known.
	at time.Time
}

// fill adds the tokens of the time that has passed.
func (b *bucket) fill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens += b.perSecond * passed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, b.burst)
}

// waitFor returns the time until there is a number of tokens.
func (b *bucket) waitFor(tokens float64) time.Duration {
	return time.Duration(math.Ceil(max(tokens-b.tokens, 0) / b.perSecond * float64(time.Second)))
}

// Slots returns how many of a target's slots the limit lets requests use that hold one for a time.
func (l *Limiter) Slots(slots int, hold time.Duration) int {
	if l.bucket == nil {
		return slots
	}
	used := math.Ceil(l.bucket.perSecond * hold.Seconds())
	return min(slots, max(int(used), 1))
}
