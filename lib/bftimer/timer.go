package bftimer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Service runs subscriptions at their times on one goroutine.
//
// Callbacks run one after another and must not block: a part with slow work
// starts it in its own group. The order of two callbacks due at the same time
// is the order in which they were scheduled.
type Service struct {
	mu    sync.Mutex
	queue subscriptionQueue
	next  uint64
	wake  chan struct{}
	rand  *rand.Rand
}

// New makes a service whose jitter comes from seed.
func New(seed uint64) *Service {
	return &Service{
		wake: make(chan struct{}, 1),
		rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
}

// Now is the current time with its monotonic reading.
func (s *Service) Now() time.Time { return time.Now() }

// Subscription is one callback's place in the service.
type Subscription struct {
	service  *Service
	interval func() time.Duration
	callback func(now time.Time)
	due      time.Time
	order    uint64
	index    int
}

// After calls callback once, d from now.
func (s *Service) After(d time.Duration, callback func(now time.Time)) *Subscription {
	return s.add(d, nil, callback)
}

// Wait returns after d, or with ctx's error.
func (s *Service) Wait(ctx context.Context, d time.Duration) error {
	over := make(chan struct{})
	sub := s.After(d, func(time.Time) { close(over) })
	defer sub.Stop()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls callback repeatedly; interval is asked again before each wait, the first included.
func (s *Service) Every(interval func() time.Duration, callback func(now time.Time)) *Subscription {
	return s.add(interval(), interval, callback)
}

// Jittered gives intervals spread evenly over mean ± share·mean.
func (s *Service) Jittered(mean time.Duration, share float64) func() time.Duration {
	return func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Duration(float64(mean) * (1 - share + 2*share*s.rand.Float64()))
	}
}

func (s *Service) add(d time.Duration, interval func() time.Duration, callback func(time.Time)) *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &Subscription{service: s, interval: interval, callback: callback, index: -1}
	s.schedule(sub, d)
	return sub
}

// schedule needs the lock.
func (s *Service) schedule(sub *Subscription, d time.Duration) {
	sub.due = time.Now().Add(d)
	sub.order = s.next
	s.next++
	if sub.index >= 0 {
		heap.Fix(&s.queue, sub.index)
	} else {
		heap.Push(&s.queue, sub)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stop ends the subscription; a callback that already runs is not waited for.
func (sub *Subscription) Stop() {
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	sub.interval = nil
	sub.callback = nil
	if sub.index >= 0 {
		heap.Remove(&sub.service.queue, sub.index)
	}
}

// Reset moves the next call to d from now; one that ran already is called again.
func (sub *Subscription) Reset(d time.Duration) {
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	if sub.callback != nil {
		sub.service.schedule(sub, d)
	}
}

// Run serves subscriptions until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	const idle = time.Hour
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		callback, wait := s.takeDue()
		if callback != nil {
			callback(time.Now())
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// takeDue returns a callback that is due, or the wait until the next one.
func (s *Service) takeDue() (func(time.Time), time.Duration) {
	const idle = time.Hour
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil, idle
	}
	sub := s.queue[0]
	if wait := time.Until(sub.due); wait > 0 {
		return nil, wait
	}
	heap.Pop(&s.queue)
	callback := sub.callback
	if sub.interval != nil {
		// interval may take the lock for its jitter.
		interval := sub.interval
		s.mu.Unlock()
		d := interval()
		s.mu.Lock()
		if sub.callback != nil && sub.index < 0 {
			s.schedule(sub, d)
		}
	}
	return callback, 0
}

type subscriptionQueue []*Subscription

func (q subscriptionQueue) Len() int { return len(q) }
func (q subscriptionQueue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].order < q[j].order
	}
	return q[i].due.Before(q[j].due)
}
func (q subscriptionQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is for container/heap only.
func (q *subscriptionQueue) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop is for container/heap only.
func (q *subscriptionQueue) Pop() any {
	old := *q
	sub := old[len(old)-1]
	old[len(old)-1] = nil
	sub.index = -1
	*q = old[:len(old)-1]
	return sub
}
