package bfbudget

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Options are what an Account works with.
type Options struct {
	Terms Terms
	// Nodes is the size of the fleet.
	Nodes func() int
	Now   func() time.Time
	// Chance gives random numbers from 0 to 1.
	Chance func() float64
	// Opened is told of each service that is met for the first time and how to read
	// how many repeats to it are left; nil where nobody asks.
	Opened func(service string, left func() float64)
}

// Account is what one node may repeat, by service; its methods may be called by many
// goroutines at once.
type Account struct {
	options Options
	mu      sync.Mutex
	buckets atomic.Pointer[map[string]*bucket]
	habits  habits
}

// New makes the account of a node that starts.
func New(options Options) *Account { return &Account{options: options} }

// Sent counts a request that is sent to a service, before any repeat of it.
func (a *Account) Sent(service string) {
	a.of(service).earn(a.options.Terms, a.options.Nodes(), a.options.Now())
}

// Take spends one repeat of a request to a service, and reports whether there was one.
func (a *Account) Take(service string) bool { return a.take(service, 1, 0) }

// Return gives back a repeat that was taken and reached no target.
func (a *Account) Return(service string) {
	a.back(service, 1)
}

func (a *Account) take(service string, amount, floor float64) bool {
	return a.of(service).take(amount, floor, a.options.Terms, a.options.Nodes(), a.options.Now())
}

func (a *Account) back(service string, amount float64) {
	a.of(service).back(amount, a.options.Terms, a.options.Nodes(), a.options.Now())
}

// of is the bucket of a service. Services come from the configuration, so their number
// is bounded by it.
func (a *Account) of(service string) *bucket {
	if held := a.buckets.Load(); held != nil {
		if b := (*held)[service]; b != nil {
			return b
		}
	}
	return a.open(service)
}

func (a *Account) open(service string) *bucket {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := map[string]*bucket{}
	if held := a.buckets.Load(); held != nil {
		maps.Copy(next, *held)
	}
	if next[service] == nil {
		b := &bucket{lots: a.options.Chance()}
		next[service] = b
		if a.options.Opened != nil {
			a.options.Opened(service, b.value)
		}
	}
	a.buckets.Store(&next)
	return next[service]
}
