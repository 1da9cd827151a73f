package bfbudget

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Origin is the sealed set of reasons for which a run is there: First, Again and Inherited.
type Origin interface{ origin() }

// First is a request's first sending.
type First struct{}

// Again is a sending that follows an earlier one of the same request.
type Again struct{}

// Inherited is the first sending of a nested call whose parent is a repeat.
type Inherited struct{}

func (First) origin()     {}
func (Again) origin()     {}
func (Inherited) origin() {}

// Run is one request that the target beside the node works on, as seen by its nested calls.
type Run struct {
	account *Account
	class   string
	repeat  bool
	failed  atomic.Bool

	mu sync.Mutex
	// made is how many calls of the run went to each service, reserved what was taken
	// for them and is not used yet.
	made     map[string]int
	reserved map[string]float64
}

// Begin opens a run of a class; ok is false where it is a repeat whose calls the
// budgets don't bear. End must be called once.
func (a *Account) Begin(class string, origin Origin) (run *Run, ok bool) {
	run = &Run{account: a, class: class}
	if _, first := origin.(First); first {
		return run, true
	}
	run.repeat = true
	for service, calls := range a.habits.of(class) {
		if !a.take(service, calls, a.floor(origin)) {
			run.giveBack()
			return nil, false
		}
		if run.reserved == nil {
			run.reserved = map[string]float64{}
		}
		run.reserved[service] = calls
	}
	return run, true
}

// floor is what a run leaves of what the node may spend on calls.
func (a *Account) floor(origin Origin) float64 {
	terms, nodes := a.options.Terms, a.options.Nodes()
	if _, inherited := origin.(Inherited); inherited {
		// Refused, it would fail the parent, whose repeat is paid and running.
		return -terms.part(owedShare, nodes)
	}
	return callsShare * terms.part(savedShare, nodes)
}

// IsRepeat reports whether the target works on the request as a repeat.
func (r *Run) IsRepeat() bool { return r.repeat }

// Fail notes that a call of the run failed: the run is likely to.
func (r *Run) Fail() { r.failed.Store(true) }

// HasFailed reports whether a call of the run failed. To repeat another of its calls
// would spend a repeat on a run that fails all the same.
func (r *Run) HasFailed() bool { return r.failed.Load() }

// Call counts a nested call of the run to a service.
func (r *Run) Call(service string) {
	if !r.repeat {
		r.account.Sent(service)
	}
	r.mu.Lock()
	if r.made == nil {
		r.made = map[string]int{}
	}
	r.made[service]++
	paid := min(r.reserved[service], 1)
	if paid > 0 {
		r.reserved[service] -= paid
	}
	r.mu.Unlock()
	if r.repeat && paid < 1 {
		// More calls than any run of the class made of late, or a class of which none
		// has ended yet. That leaves a debt of what one node runs at once at most: until
		// it is paid no repeat that makes such calls begins here.
		r.account.of(service).charge(1 - paid)
	}
}

// End closes the run, which has been handed to the target, and learns what it called.
func (r *Run) End() {
	r.giveBack()
	r.mu.Lock()
	made := maps.Clone(r.made)
	r.mu.Unlock()
	r.account.habits.learn(r.class, made)
}

// giveBack returns what was reserved and not used.
func (r *Run) giveBack() {
	r.mu.Lock()
	left := r.reserved
	r.reserved = nil
	r.mu.Unlock()
	for service, amount := range left {
		r.account.of(service).back(amount, r.account.options.Terms, r.account.options.Nodes())
	}
}
