package bfsoak

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// limitedTargets is the name of the scenario in which targets name, change and withdraw limits.
const limitedTargets = "targets name limits"

const (
	// limitWindow, limitFactor and limitSlack bound what a limited target may get: in any window
	// the slack and the factor times what its limit allows.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitDelay is how long after a target has named a limit it must be kept.
	limitDelay = time.Second
	// maxUnlimitedDelay is how long after a limit was withdrawn the target may get no more.
	maxUnlimitedDelay = 3 * time.Second
)

// limitLog records the limits that a target names and the requests that reach it.
type limitLog struct {
	mu       sync.Mutex
	arrivals []time.Time
	spans    []limitSpan
}

// limitSpan is a period in which a target names one limit; to is zero while it does.
type limitSpan struct {
	from, to  time.Time
	perSecond float64
}

func (l *limitLog) recordArrival() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
}

// set changes the named limit; 0 withdraws it.
func (l *limitLog) set(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if last := len(l.spans) - 1; last >= 0 && l.spans[last].to.IsZero() {
		l.spans[last].to = now
	}
	if perSecond > 0 {
		l.spans = append(l.spans, limitSpan{from: now, perSecond: perSecond})
	}
}

// current returns the limit named now, 0 for none.
func (l *limitLog) current() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := len(l.spans) - 1; last >= 0 && l.spans[last].to.IsZero() {
		return l.spans[last].perSecond
	}
	return 0
}

// writeLimit names the limit in an answer.
func (l *limitLog) writeLimit(header http.Header) {
	if perSecond := l.current(); perSecond > 0 {
		header.Set(headers.Limit, strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
}

// excess returns the largest number of requests beyond what was allowed in a window.
func (l *limitLog) excess() (excess int, arrived int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for first, from := range l.arrivals {
		to := from.Add(limitWindow)
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
func (l *limitLog) allowed(from, to time.Time) (requests float64, limited bool) {
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

// arrivalsSince counts the requests that reached the target since a time.
func (l *limitLog) arrivalsSince(from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, _ := slices.BinarySearchFunc(l.arrivals, from, time.Time.Compare)
	return len(l.arrivals) - first
}

// nameLimit has a target name a limit for a while, and another one in the second half.
func (h *harness) nameLimit(n *nodeSlot, length time.Duration) {
	n.targetMu.Lock()
	target := n.target
	n.targetMu.Unlock()
	target.limits.set(2 + float64(length/(200*time.Millisecond)))
	time.Sleep(length + limitWindow)
	target.limits.set(1.5)
	time.Sleep(length + limitWindow)
	target.limits.set(0)
}

// startBurst starts as many callers again as the soak has, and returns what stops them.
func (h *harness) startBurst() (stop func()) {
	ctx, cancel := context.WithCancel(h.group.Context())
	var callers sync.WaitGroup
	for range h.options.Callers {
		callers.Add(1)
		h.group.Go("burst", func(context.Context) error {
			defer callers.Done()
			return h.runCaller(ctx)
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// checkLimits checks that no target got more than the limits that it named.
func (h *harness) checkLimits() {
	h.runLog.mu.Lock()
	defer h.runLog.mu.Unlock()
	for incarnation, limits := range h.runLog.limits {
		if excess, arrived, at := limits.excess(); excess > 0 {
			h.addViolation("target %s got %d requests in %v at %v, %d more than its limit allows", incarnation, arrived, limitWindow, at.Format(time.TimeOnly), excess)
		}
	}
}

// limitTargets plays a series of limits: two targets name one each beside a burst, lost answers and
// restarts of nodes. Then one starts anew without a limit and the other withdraws its own.
func (h *harness) limitTargets(_ *nodeSlot, length time.Duration) {
	nodes := h.allNodes()
	first, second, faulty := nodes[0], nodes[1], nodes[2]
	for _, n := range nodes {
		n.target.nests.Store(true)
	}
	first.target.limits.set(6)
	second.target.limits.set(8.5)
	stopBurst := h.startBurst()
	h.group.Go("lose answers", func(context.Context) error {
		h.loseResponses(faulty, length/3)
		return nil
	})
	time.Sleep(length / 6)
	h.stopNode(first, 0)
	h.killNode(second, 0)
	time.Sleep(length / 6)
	second.target.limits.set(2.5)
	stopBurst()
	time.Sleep(length / 3)
	h.replaceTarget(first, 0)
	second.target.limits.set(0)
	withdrawn := time.Now()
	time.Sleep(maxUnlimitedDelay)
	for _, n := range []*nodeSlot{first, second} {
		const few = 20
		if got := n.target.limits.arrivalsSince(withdrawn); got < few {
			h.addViolation("target %s without a limit got %d requests in %v", n.target.id, got, maxUnlimitedDelay)
		}
	}
}
