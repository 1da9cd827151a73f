package bfflight

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"bilberryflow.org/lib/bfquarantine"
)

// Crash describes the end of a target that had not announced it.
type Crash struct {
	Target Target
	// Runs are the requests in flight at the crash, the latest first, without those that
	// were answered here recently. Answered is the number of the latter.
	Runs     []Run
	Answered int
	// Blamed are the requests that the crash counts against.
	Blamed []bfquarantine.Key
}

// Run is one request that was in flight when a target crashed.
type Run struct {
	ID  string
	Key bfquarantine.Key
	// Ran is how long the request had been in flight.
	Ran time.Duration
}

const (
	// maxRuns bounds the requests that one crash can count against.
	maxRuns = 64
	// probeTimeout bounds the connection attempt that shows whether the target is still
	// there. It is short since the target is on the same machine.
	probeTimeout = 100 * time.Millisecond
)

// CheckCrash checks whether the target has crashed, after a request that got no answer.
//
// A crash loses all requests in flight at once, so concurrent calls share one check. Call
// CheckCrash before End, since only requests in flight are part of the Crash.
func (f *Flight) CheckCrash(ctx context.Context) {
	if ctx.Err() != nil {
		// The request was cancelled or timed out.
		return
	}
	// The function never returns an error.
	_, _, _ = f.register.checks.Do(f.target.Name(), func() (any, error) {
		if f.register.hasCrashed(f.target) {
			f.register.recordCrash(f.target)
		}
		return nil, nil
	})
}

// Crashed reports whether the last crash that was recorded is of the target of the request.
func (f *Flight) Crashed() bool {
	last := f.register.lastCrashed.Load()
	return last != nil && *last == f.target.Name()
}

// hasCrashed reports whether a target has crashed and the crash was not recorded yet.
func (r *Tracker) hasCrashed(target Target) bool {
	if last := r.lastCrashed.Load(); last != nil && *last == target.Name() {
		return false
	}
	switch target.State() {
	case Left:
		return false
	case Replaced:
		return true
	case Running:
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return errors.Is(r.options.Dial(ctx, target.Address()), syscall.ECONNREFUSED)
}

// recordCrash records the crash of a target against the requests in flight there.
func (r *Tracker) recordCrash(target Target) {
	name := target.Name()
	r.lastCrashed.Store(&name)
	now := r.options.Now()
	crash := Crash{Target: target}
	r.flights.Range(func(flight, _ any) bool {
		f := flight.(*Flight)
		switch {
		case f.target.Name() != name:
		case r.answers.Has(r.requestHash(f.request), now):
			crash.Answered++
		default:
			crash.Runs = append(crash.Runs, Run{ID: f.id, Key: bfquarantine.KeyOf(f.request), Ran: now.Sub(f.began)})
		}
		return true
	})
	slices.SortFunc(crash.Runs, func(a, b Run) int { return cmp.Compare(a.Ran, b.Ran) })
	crash.Runs = crash.Runs[:min(len(crash.Runs), maxRuns)]
	keys := make([]bfquarantine.Key, 0, len(crash.Runs))
	for _, run := range crash.Runs {
		keys = append(keys, run.Key)
	}
	crash.Blamed = r.options.Book.Crashed(bfquarantine.CrashOf(name), keys, now)
	if r.options.Crashed != nil {
		r.options.Crashed(crash)
	}
}
