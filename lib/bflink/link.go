package bflink

import (
	"fmt"
	"slices"
	"time"
)

const (
	// LongAnswer is the length in bytes from which an answer reserves room.
	LongAnswer = 16 << 10
	// sizeWeight is the weight of one answer in the mean length of its class.
	sizeWeight = 1.0 / 16
	// marginShare is the part of the time left that the plan keeps free, since answers and runs may
	// be longer than their means. It doesn't apply to a link that is free: other targets would be no sooner.
	marginShare = 0.25
	// lateWait is the longest wait for the link at which a request is served that can't be in time.
	// At a longer one it would take room from requests that can.
	lateWait = 10 * time.Millisecond
	// maxClasses bounds the classes with a mean length; routes come and go with the configuration.
	maxClasses = 1 << 10
	// minRetryAfter is the shortest retry delay.
	minRetryAfter = 5 * time.Millisecond
)

// Link is the plan of one link. It is not safe for concurrent use.
type Link struct {
	// rate is in bytes per second.
	rate float64
	// reserved holds the requests whose answers have not begun, by the time at which they are
	// expected to begin.
	reserved []*Reservation
	// bytes is the sum of the bytes reserved.
	bytes int64
	// means holds the mean length of the answers of each class.
	means map[string]float64
	// refused counts refusals.
	refused int64
}

// New returns the plan of a link that sends rate bytes per second.
func New(rate float64) *Link { return &Link{rate: rate, means: map[string]float64{}} }

// Request describes a request whose answer the link will send.
type Request struct {
	// Class is the request's route.
	Class string
	// Stated is the length of the answer that the entry expects, 0 if unknown.
	Stated int64
	// Run is the expected time until the answer begins.
	Run time.Duration
	// Left is the time left until the objective; it may be negative.
	Left time.Duration
	// MaxWait is how long the answer may wait for the link, 0 for no limit other than Left.
	MaxWait time.Duration
}

// Reservation is the room of one request on the link. End must be called.
type Reservation struct {
	bytes int64
	ready time.Time
}

// Bytes returns the bytes reserved.
func (r *Reservation) Bytes() int64 { return r.bytes }

// FullError reports a request that the link can't serve in time.
type FullError struct {
	// Wait is how long the answer would wait for the link.
	Wait time.Duration
	// RetryAfter is when the link has room again.
	RetryAfter time.Duration
}

// Error includes the wait.
func (e *FullError) Error() string { return fmt.Sprintf("link busy for %v", e.Wait) }

// Expected returns the expected length of an answer: the mean of its class, else what the entry states.
func (l *Link) Expected(request Request) int64 {
	if mean, known := l.means[request.Class]; known {
		return int64(mean)
	}
	return request.Stated
}

// Observe adds the length of an answer to the mean of its class.
func (l *Link) Observe(class string, bytes int64) {
	mean, known := l.means[class]
	switch {
	case known:
		l.means[class] = mean + (float64(bytes)-mean)*sizeWeight
	default:
		if len(l.means) >= maxClasses {
			clear(l.means)
		}
		l.means[class] = float64(bytes)
	}
}

// Duration returns how long the link needs for a number of bytes.
func (l *Link) Duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}

// Reserved returns the bytes reserved for answers that have not begun.
func (l *Link) Reserved() int64 { return l.bytes }

// Refused returns the number of refusals.
func (l *Link) Refused() int64 { return l.refused }

// wait returns how long an answer that begins after run waits for the link. unsent are the bytes
// left of the answers that have begun. All reservations count as before it, also those expected
// to begin later: they were admitted first, and it must not make them late.
func (l *Link) wait(now time.Time, unsent int64, run time.Duration) time.Duration {
	ready, free := now.Add(run), now.Add(l.Duration(unsent))
	for _, r := range l.reserved {
		if begin := earlier(r.ready, ready); begin.After(free) {
			free = begin
		}
		free = free.Add(l.Duration(r.bytes))
	}
	return max(free.Sub(ready), 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Admit reserves room for a request, or returns a FullError if its answer would be late. unsent are
// the bytes left of the answers that have begun. A request that can't be in time is served if the
// link is free; a request with a MaxWait isn't, since other targets may serve it in time.
func (l *Link) Admit(now time.Time, unsent int64, request Request) (*Reservation, error) {
	bytes := l.Expected(request)
	wait := l.wait(now, unsent, request.Run)
	took := request.Run + wait + l.Duration(bytes)
	inTime := took <= request.Left-time.Duration(marginShare*float64(max(request.Left, 0))) || wait == 0 && took <= request.Left
	limit := lateWait
	switch {
	case inTime && request.MaxWait > 0:
		limit = request.MaxWait
	case inTime:
		limit = wait
	case request.MaxWait > 0:
		limit = -1
	}
	if wait > limit {
		l.refused++
		return nil, &FullError{Wait: wait, RetryAfter: max(wait-max(limit, lateWait), minRetryAfter)}
	}
	return l.Reserve(now, request), nil
}

// Reserve reserves room for a request whatever its wait.
func (l *Link) Reserve(now time.Time, request Request) *Reservation {
	r := &Reservation{bytes: l.Expected(request), ready: now.Add(request.Run)}
	at, _ := slices.BinarySearchFunc(l.reserved, r, func(x, y *Reservation) int {
		if x.ready.After(y.ready) {
			return 1
		}
		return -1
	})
	l.reserved = slices.Insert(l.reserved, at, r)
	l.bytes += r.bytes
	return r
}

// End removes a reservation, once its answer has begun or will not come.
func (l *Link) End(r *Reservation) {
	if at := slices.Index(l.reserved, r); at >= 0 {
		l.reserved = slices.Delete(l.reserved, at, at+1)
		l.bytes -= r.bytes
	}
}
