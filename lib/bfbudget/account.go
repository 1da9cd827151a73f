package bfbudget

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures an Account.
type Options struct {
	// Terms are the limits of the fleet for each service.
	Terms Terms
	// Nodes returns the number of nodes in the fleet.
	Nodes func() int
	// Now returns the current time.
	Now func() time.Time
	// Random returns random numbers from 0 to 1.
	Random func() float64
	// OnNewService is called when a service is first used, with a function that returns how
	// many repeats to it are left. It may be nil.
	OnNewService func(service string, left func() float64)
}

// Account holds one node's part of the budget of each service. It is safe for concurrent
// use.
type Account struct {
	options    Options
	mu         sync.Mutex
	buckets    atomic.Pointer[map[string]*bucket]
	callCounts callCounts
}

// New returns an account without repeats to spend.
func New(options Options) *Account { return &Account{options: options} }

// Sent counts a request that is sent to a service for the first time, and adds the
// repeats that it allows.
func (a *Account) Sent(service string) {
	a.bucketOf(service).earn(a.options.Terms, a.options.Nodes(), a.options.Now())
}

// Take spends one repeat on a request to a service, and reports whether one was left.
func (a *Account) Take(service string) bool { return a.take(service, 1, 0) }

// Return gives back a repeat that was taken but reached no target.
func (a *Account) Return(service string) {
	a.refund(service, 1)
}

func (a *Account) take(service string, amount, floor float64) bool {
	return a.bucketOf(service).take(amount, floor, a.options.Terms, a.options.Nodes(), a.options.Now())
}

func (a *Account) refund(service string, amount float64) {
	a.bucketOf(service).refund(amount, a.options.Terms, a.options.Nodes(), a.options.Now())
}

// bucketOf returns the bucket of a service. Buckets need no eviction, since the
// configuration bounds the number of services.
func (a *Account) bucketOf(service string) *bucket {
	if held := a.buckets.Load(); held != nil {
		if b := (*held)[service]; b != nil {
			return b
		}
	}
	return a.addBucket(service)
}

func (a *Account) addBucket(service string) *bucket {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := map[string]*bucket{}
	if held := a.buckets.Load(); held != nil {
		maps.Copy(next, *held)
	}
	if next[service] == nil {
		b := &bucket{fraction: a.options.Random()}
		next[service] = b
		if a.options.OnNewService != nil {
			a.options.OnNewService(service, b.current)
		}
	}
	a.buckets.Store(&next)
	return next[service]
}
