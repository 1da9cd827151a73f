package bftimer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Service runs the callbacks of subscriptions at their due times on one goroutine.
//
// Callbacks run sequentially and must not block; slow work belongs in a goroutine of the
// component's own group. Callbacks due at the same time run in the order of their scheduling.
type Service struct {
	mu    sync.Mutex
	queue subscriptionQueue
	next  uint64
	wake  chan struct{}
	rand  *rand.Rand
}

// New returns a service whose jitter is generated from seed.
func New(seed uint64) *Service {
	return &Service{
		wake: make(chan struct{}, 1),
		rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
}

// Now returns the current time with its monotonic clock reading.
func (s *Service) Now() time.Time { return time.Now() }

// Subscription is a scheduled callback.
type Subscription struct {
	service  *Service
	interval func() time.Duration
	callback func(now time.Time)
	due      time.Time
	order    uint64
	index    int
}

// After schedules one call of callback after d.
func (s *Service) After(d time.Duration, callback func(now time.Time)) *Subscription {
	return s.add(d, nil, callback)
}

// Wait blocks for d, or until ctx is done, and then returns ctx's error.
func (s *Service) Wait(ctx context.Context, d time.Duration) error {
	elapsed := make(chan struct{})
	sub := s.After(d, func(time.Time) { close(elapsed) })
	defer sub.Stop()
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every schedules repeated calls of callback; interval is called for each wait, including the first.
func (s *Service) Every(interval func() time.Duration, callback func(now time.Time)) *Subscription {
	return s.add(interval(), interval, callback)
}

// Jittered returns a function for Every whose intervals are uniform over mean ± share·mean.
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

// schedule requires that s.mu is held.
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

// Stop cancels the subscription. It doesn't wait for a callback that is running.
func (sub *Subscription) Stop() {
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	sub.interval = nil
	sub.callback = nil
	if sub.index >= 0 {
		heap.Remove(&sub.service.queue, sub.index)
	}
}

// Reset reschedules the next call to d from now, also if the callback has already run. It has no
// effect after Stop.
func (sub *Subscription) Reset(d time.Duration) {
	sub.service.mu.Lock()
	defer sub.service.mu.Unlock()
	if sub.callback != nil {
		sub.service.schedule(sub, d)
	}
}

// Run runs due callbacks until ctx is done.
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
		// Unlocks, since interval may be that of Jittered, which locks.
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

// Push implements heap.Interface.
func (q *subscriptionQueue) Push(x any) {
	sub := x.(*Subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop implements heap.Interface.
func (q *subscriptionQueue) Pop() any {
	old := *q
	sub := old[len(old)-1]
	old[len(old)-1] = nil
	sub.index = -1
	*q = old[:len(old)-1]
	return sub
}
