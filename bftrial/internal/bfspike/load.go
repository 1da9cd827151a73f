package bfspike

import (
	"container/heap"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfgroup"
)

// outcome is how one sending ended for its caller.
type outcome int

const (
	served outcome = iota
	late
	refused
	unknown
	failed
	dropped
	outcomes
)

// String is the outcome's name in the report.
func (o outcome) String() string {
	return [outcomes]string{"served", "late", "refused", "unknown", "failed", "dropped"}[o]
}

// result is what one sending brought.
type result struct {
	outcome    outcome
	retryAfter time.Duration
	// own is the target's own time, 0 where it told none.
	own time.Duration
	// began is when the first sending began, and answered when the one that was answered did.
	began, answered time.Time
}

// sample is one sending; times are since the start of the run.
type sample struct {
	arrival arrival
	// returned says that the caller was refused before and came back as told.
	returned bool
	// due is when the caller wanted to send.
	due, began, answered, done time.Duration
	outcome                    outcome
	own                        time.Duration
	// noReturn says that the caller was told to come back after the end of the run.
	noReturn bool
}

func (s sample) latency() time.Duration { return s.done - s.due }

// maxInFlight bounds the callers' open requests; it stays below the limit of open files.
const maxInFlight = 12_000

// load sends arrivals as they come, however late the answers are.
type load struct {
	shape  shape
	policy policy
	client *http.Client
	group  *bfgroup.Group
	start  time.Time
	end    time.Duration

	inFlight atomic.Int64
	mu       sync.Mutex
	samples  []sample
	returns  returns
}

// comer is a refused caller who comes back.
type comer struct {
	arrival arrival
	due     time.Duration
}

// returns is a heap of comers by time.
type returns []comer

func (r returns) Len() int           { return len(r) }
func (r returns) Less(i, j int) bool { return r[i].due < r[j].due }
func (r returns) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push is heap.Interface's.
func (r *returns) Push(x any) { *r = append(*r, x.(comer)) }

// Pop is heap.Interface's.
func (r *returns) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}

func newLoad(s shape, p policy, start time.Time, end time.Duration) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true, IdleConnTimeout: time.Minute}
	return &load{
		shape: s, policy: p, client: &http.Client{Transport: transport},
		group: bfgroup.New(context.Background()), start: start, end: end,
	}
}

// run sends every arrival at its time and returns when all have ended.
func (l *load) run(list []arrival) ([]sample, error) {
	time.Sleep(time.Until(l.start))
	for _, a := range list {
		time.Sleep(time.Until(l.start.Add(a.at)))
		l.sendReturns()
		l.launch(comer{arrival: a, due: a.at}, false)
	}
	// Whoever has no answer after the longest deadline has none in time.
	stop := time.AfterFunc(time.Until(l.start.Add(l.end+writeDeadline)), l.group.Cancel)
	defer stop.Stop()
	err := l.group.Wait()
	l.client.CloseIdleConnections()
	return l.samples, err
}

// sendReturns sends the comers that are due; arrivals are close enough together to look at each.
func (l *load) sendReturns() {
	now := time.Since(l.start)
	l.mu.Lock()
	var due []comer
	for len(l.returns) > 0 && l.returns[0].due <= now {
		due = append(due, heap.Pop(&l.returns).(comer))
	}
	l.mu.Unlock()
	for _, c := range due {
		l.launch(c, true)
	}
}

func (l *load) launch(c comer, returned bool) {
	s := sample{arrival: c.arrival, returned: returned, due: c.due}
	if l.inFlight.Add(1) > maxInFlight {
		l.inFlight.Add(-1)
		s.outcome, s.began, s.done = dropped, c.due, c.due
		l.record(s, 0)
		return
	}
	l.group.Go("caller", func(ctx context.Context) error {
		r := l.send(ctx, c.arrival, l.start.Add(c.due))
		l.inFlight.Add(-1)
		s.outcome, s.own = r.outcome, r.own
		s.began, s.answered, s.done = r.began.Sub(l.start), r.answered.Sub(l.start), time.Since(l.start)
		if s.outcome == served && s.latency() > deadlineOf(c.arrival.class) {
			s.outcome = late
		}
		l.record(s, r.retryAfter)
		return nil
	})
}

// record keeps the sample and has a refused caller come back once; naive callers have come back at once already.
func (l *load) record(s sample, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, obeys := l.policy.(mesh); obeys && s.outcome == refused && !s.returned {
		due := s.done + retryAfter
		s.noReturn = due >= l.end
		if !s.noReturn {
			heap.Push(&l.returns, comer{s.arrival, due})
		}
	}
	l.samples = append(l.samples, s)
}
