package bfbudget

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Origin is why a request is sent. It is a sealed interface, implemented by First, Retry
// and Inherited.
type Origin interface{ origin() }

// First is the first attempt of a request.
type First struct{}

// Retry is a retry of a request.
type Retry struct{}

// Inherited is the first attempt of a nested call whose parent run is a repeat.
type Inherited struct{}

func (First) origin()     {}
func (Retry) origin()     {}
func (Inherited) origin() {}

// Run is one request that the node's target runs, with the state of its nested calls.
type Run struct {
	account *Account
	class   string
	repeat  bool
	failed  atomic.Bool

	mu sync.Mutex
	// made is the number of calls of the run by service, reserved the repeats that were
	// taken for them and not used yet.
	made     map[string]int
	reserved map[string]float64
	// open is the number of calls in progress, shed the number of these that a target shed.
	open, shed int
}

// Begin starts a run of a class. For a repeat it reserves the repeats for the expected
// nested calls; ok is false if the budgets don't allow them. If ok is true, End must be
// called once.
func (a *Account) Begin(class string, origin Origin) (run *Run, ok bool) {
	run = &Run{account: a, class: class}
	switch origin.(type) {
	case First:
		return run, true
	case Retry, Inherited:
		run.repeat = true
	}
	for service, calls := range a.callCounts.estimate(class) {
		if !a.take(service, calls, a.floor(service, origin)) {
			run.returnUnused()
			return nil, false
		}
		if run.reserved == nil {
			run.reserved = map[string]float64{}
		}
		run.reserved[service] = calls
	}
	return run, true
}

// floor returns the balance that a run must leave for other calls to the service.
func (a *Account) floor(service string, origin Origin) float64 {
	switch origin.(type) {
	case Inherited:
		// A refusal would fail the parent run, which is already paid for.
		return -a.options.Terms.nodeShare(owedShare, a.options.Nodes())
	default:
		return a.reserve(service)
	}
}

// reserve returns the balance that is reserved as callsShare describes.
func (a *Account) reserve(service string) float64 {
	return callsShare * a.bucketOf(service).maxSavings(a.options.Terms, a.options.Nodes(), a.options.Now())
}

// hasSpare reports whether at least one repeat is left beyond the reserve.
func (a *Account) hasSpare(service string) bool {
	return a.bucketOf(service).current() >= a.reserve(service)+1
}

// IsRepeat reports whether the run is a repeat.
func (r *Run) IsRepeat() bool { return r.repeat }

// Fail records that a nested call failed, so that the run is likely to fail.
func (r *Run) Fail() { r.failed.Store(true) }

// HasFailed reports whether a nested call failed. Retrying other calls of the run would
// waste repeats on a run that fails anyway.
func (r *Run) HasFailed() bool { return r.failed.Load() }

// BeginCall counts a nested call to a service. EndCall must follow.
func (r *Run) BeginCall(service string) {
	if !r.repeat {
		r.account.Sent(service)
	}
	r.mu.Lock()
	r.open++
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
		// The run makes more calls than estimated for its class. The debt is bounded by
		// the runs in progress at this node: until it is paid, no repeat that makes such
		// calls begins here.
		r.account.bucketOf(service).charge(1 - paid)
	}
}

// ShedCall records that a target shed a call. It reports whether the caller should await the
// other calls in progress before it retries, which is so while repeats are scarce.
func (r *Run) ShedCall(service string) (waits bool) {
	r.mu.Lock()
	r.shed++
	others := r.open > r.shed
	r.mu.Unlock()
	return others && !r.account.hasSpare(service)
}

// Take spends a repeat on a shed call of the run, and reports whether one was left.
//
// A run needs all its calls, so a run that lacks several costs more to save, and each
// retry may be shed again. While repeats are scarce, only runs that lack one call get them.
func (r *Run) Take(service string) bool {
	if r.HasFailed() {
		return false
	}
	r.mu.Lock()
	several := r.shed > 1
	r.mu.Unlock()
	floor := 0.0
	if several {
		floor = r.account.reserve(service)
	}
	return r.account.take(service, 1, floor)
}

// EndCall counts the end of a call; wasShed is set if ShedCall was called for it.
func (r *Run) EndCall(wasShed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if wasShed {
		r.shed--
	}
}

// End ends a run that was sent to the target, returns the unused repeats and updates the
// call estimate of its class.
func (r *Run) End() {
	r.returnUnused()
	r.mu.Lock()
	made := maps.Clone(r.made)
	r.mu.Unlock()
	r.account.callCounts.record(r.class, made)
}

// returnUnused returns the reserved repeats that were not used.
func (r *Run) returnUnused() {
	r.mu.Lock()
	left := r.reserved
	r.reserved = nil
	r.mu.Unlock()
	for service, amount := range left {
		r.account.refund(service, amount)
	}
}
