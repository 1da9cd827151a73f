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

// outcome is the result of one attempt for its caller.
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

// String returns the outcome's name in the report.
func (o outcome) String() string {
	return [outcomes]string{"served", "late", "refused", "unknown", "failed", "dropped"}[o]
}

// result is the response to one attempt, or its failure.
type result struct {
	outcome    outcome
	retryAfter time.Duration
	// serviceTime is the service time reported by the target, or 0.
	serviceTime time.Duration
	// began is when the first try was sent, and lastTry when the last try was sent.
	began, lastTry time.Time
}

// sample records one attempt; times are relative to the start of the run.
type sample struct {
	arrival arrival
	// retry marks the second attempt after a refusal, sent at the time given in Retry-After.
	retry bool
	// due is the scheduled send time.
	due, began, lastTry, done time.Duration
	outcome                   outcome
	serviceTime               time.Duration
	// retryAfterEnd marks a refusal whose retry time is after the end of the run.
	retryAfterEnd bool
}

func (s sample) latency() time.Duration { return s.done - s.due }

// maxInFlight limits the open requests, to stay below the limit of open files.
const maxInFlight = 12_000

// load is an open-loop load generator: it sends arrivals on time regardless of pending responses.
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
	retries  retryQueue
}

// attempt is an arrival with the time at which to send it.
type attempt struct {
	arrival arrival
	due     time.Duration
}

// retryQueue is a heap of scheduled retries by due time.
type retryQueue []attempt

func (r retryQueue) Len() int           { return len(r) }
func (r retryQueue) Less(i, j int) bool { return r[i].due < r[j].due }
func (r retryQueue) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *retryQueue) Push(x any) { *r = append(*r, x.(attempt)) }

// Pop implements heap.Interface.
func (r *retryQueue) Pop() any {
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

// run sends every arrival at its time and returns the samples when all attempts have finished.
func (l *load) run(list []arrival) ([]sample, error) {
	time.Sleep(time.Until(l.start))
	for _, a := range list {
		time.Sleep(time.Until(l.start.Add(a.at)))
		l.sendDueRetries()
		l.launch(attempt{arrival: a, due: a.at}, false)
	}
	// After the longest deadline no response can be in time.
	stop := time.AfterFunc(time.Until(l.start.Add(l.end+writeDeadline)), l.group.Cancel)
	defer stop.Stop()
	err := l.group.Wait()
	l.client.CloseIdleConnections()
	return l.samples, err
}

// sendDueRetries sends the retries that are due. It is called at each arrival, which is often
// enough to send them on time.
func (l *load) sendDueRetries() {
	now := time.Since(l.start)
	l.mu.Lock()
	var due []attempt
	for len(l.retries) > 0 && l.retries[0].due <= now {
		due = append(due, heap.Pop(&l.retries).(attempt))
	}
	l.mu.Unlock()
	for _, a := range due {
		l.launch(a, true)
	}
}

func (l *load) launch(a attempt, retry bool) {
	s := sample{arrival: a.arrival, retry: retry, due: a.due}
	if l.inFlight.Add(1) > maxInFlight {
		l.inFlight.Add(-1)
		s.outcome, s.began, s.done = dropped, a.due, a.due
		l.record(s, 0)
		return
	}
	l.group.Go("caller", func(ctx context.Context) error {
		r := l.send(ctx, a.arrival, l.start.Add(a.due))
		l.inFlight.Add(-1)
		s.outcome, s.serviceTime = r.outcome, r.serviceTime
		s.began, s.lastTry, s.done = r.began.Sub(l.start), r.lastTry.Sub(l.start), time.Since(l.start)
		if s.outcome == served && s.latency() > deadlineOf(a.arrival.class) {
			s.outcome = late
		}
		l.record(s, r.retryAfter)
		return nil
	})
}

// record adds the sample and schedules one retry of a refused request. Naive callers have
// already retried immediately.
func (l *load) record(s sample, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, isMesh := l.policy.(mesh); isMesh && s.outcome == refused && !s.retry {
		due := s.done + retryAfter
		s.retryAfterEnd = due >= l.end
		if !s.retryAfterEnd {
			heap.Push(&l.retries, attempt{s.arrival, due})
		}
	}
	l.samples = append(l.samples, s)
}
