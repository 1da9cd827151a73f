package bflimit

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// admitted returns when requests that arrive at the given times may be sent.
func admitted(l *Limiter, request Request, arrivals []time.Duration) (sent []time.Duration) {
	for _, at := range arrivals {
		if permit, err := l.Admit(request, start.Add(at)); err == nil {
			sent = append(sent, at+permit.Wait())
		}
	}
	return sent
}

// every returns the times from 0 to length at an interval.
func every(interval, length time.Duration) (times []time.Duration) {
	for at := time.Duration(0); at < length; at += interval {
		times = append(times, at)
	}
	return times
}

// Guards against a target that gets more than its limit while its callers send many times as much,
// and against one that gets less than it takes.
func TestLimitIsReachedAndNotExceeded(t *testing.T) {
	for _, perSecond := range []float64{0.4, 1, 5.6, 8, 250} {
		is := is.New(t)
		var l Limiter
		l.Set(PerSecond(perSecond), start)
		const length = 20 * time.Second
		sent := admitted(&l, Request{}, every(time.Millisecond, length))
		want := perSecond * length.Seconds()
		is.True(float64(len(sent)) <= want+1)
		is.True(float64(len(sent)) >= 0.9*want-1)
	}
}

// Guards against any sequence of limits, waits, late and cancelled requests by which a target gets
// more in four seconds than one and a half times its limit and five requests.
func TestNoSequenceExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		const window = 4 * time.Second
		var now time.Duration
		var sent []time.Duration
		highest := 0.0
		limits := rapid.SliceOfN(rapid.Float64Range(0, 40), 1, 4).Draw(t, "limits")
		for _, limit := range limits {
			highest = max(highest, limit)
			l.Set(PerSecond(limit), start.Add(now))
			for range rapid.IntRange(1, 150).Draw(t, "requests") {
				now += time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * time.Millisecond
				request := Request{Late: rapid.Bool().Draw(t, "late"), MaxWait: time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond}
				permit, err := l.Admit(request, start.Add(now))
				switch {
				case err != nil:
				case rapid.IntRange(0, 9).Draw(t, "outcome") == 0:
					permit.cancel()
				default:
					sent = append(sent, now+permit.Wait())
				}
			}
		}
		for _, from := range sent {
			got := 0
			for _, at := range sent {
				if at >= from && at < from+window {
					got++
				}
			}
			if allowed := 1.5*highest*window.Seconds() + 5; float64(got) > allowed {
				t.Fatalf("%d requests in %v, %.1f allowed by limits %v", got, window, allowed, limits)
			}
		}
	})
}

// Guards against a retry delay after which the request is refused again.
func TestRefusedRequestIsAdmittedLater(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.Set(PerSecond(2), start)
	_, err := l.Admit(Request{}, start)
	var limited *LimitedError
	is.True(errors.As(err, &limited))
	is.Equal(limited.RetryAfter, 500*time.Millisecond)
	_, err = l.Admit(Request{}, start.Add(limited.RetryAfter))
	is.NoErr(err)
	permit, err := l.Admit(Request{MaxWait: time.Second}, start.Add(limited.RetryAfter))
	is.NoErr(err)
	is.Equal(permit.Wait(), 500*time.Millisecond)
}

// Guards against late requests that use up the limit of a target in need.
func TestLateRequestsLeaveRoom(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.Set(PerSecond(4), start)
	is.Equal(len(admitted(&l, Request{Late: true}, every(10*time.Millisecond, 490*time.Millisecond))), 0)
	is.Equal(len(admitted(&l, Request{Late: true}, []time.Duration{500 * time.Millisecond})), 1)
}

// Guards against a limit that stays after the target has withdrawn it, and against a target that is
// never asked again because it takes nothing.
func TestLimitEnds(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.Set(PerSecond(0), start)
	is.Equal(len(admitted(&l, Request{}, every(100*time.Millisecond, 20*time.Second))), 4) // one in four seconds
	l.Set(Unlimited{}, start)
	is.Equal(len(admitted(&l, Request{}, make([]time.Duration, 100))), 100)
}

// Guards against entries that send a limited target what only its slots could take.
func TestSlotsOfALimitedTarget(t *testing.T) {
	is := is.New(t)
	var l Limiter
	is.Equal(l.Slots(9, 200*time.Millisecond), 9)
	l.Set(PerSecond(8), start)
	is.Equal(l.Slots(9, 200*time.Millisecond), 2)
	is.Equal(l.Slots(9, 10*time.Second), 9)
	is.Equal(l.Slots(9, 0), 1)
}

// Guards against a limit that is used up by requests that were not sent.
func TestCancelledPermitsDoNotCount(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.Set(PerSecond(10), start)
	now := start.Add(time.Second)
	for range 100 {
		permit, err := l.Admit(Request{}, now)
		is.NoErr(err)
		now = now.Add(time.Millisecond)
		permit.cancel()
	}
	is.True(len(admitted(&l, Request{}, make([]time.Duration, 100))) <= int(minBurst+10*burstTime.Seconds()))
}
