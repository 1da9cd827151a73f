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

// Crash is the end of a target that had not said that it leaves.
type Crash struct {
	Target Target
	// Runs are the requests that it worked on, those that began last first, without those
	// that were answered here lately; Answered is how many these are.
	Runs     []Run
	Answered int
	// Blamed are those of them that the end speaks against.
	Blamed []bfquarantine.Key
}

// Run is one request that a target worked on when it ended.
type Run struct {
	ID  string
	Key bfquarantine.Key
	// Ran is how long the target had worked on it.
	Ran time.Duration
}

const (
	// mostRuns bounds the requests that one crash speaks against.
	mostRuns = 64
	// probeTimeout bounds the connection that shows whether the target is there still: it
	// is on the same machine.
	probeTimeout = 100 * time.Millisecond
)

// Lost finds out, after a request that brought no answer, whether the target has ended.
//
// All that it ran is lost at one moment, and one of them finds out for all. Until then
// each counts as running, so Lost goes before End.
func (f *Flight) Lost(ctx context.Context) {
	if ctx.Err() != nil {
		// Its caller left, or its time is over.
		return
	}
	// What is done here never fails.
	_, _, _ = f.register.probes.Do(f.target.Name(), func() (any, error) {
		if f.register.hasCrashed(f.target) {
			f.register.crash(f.target)
		}
		return nil, nil
	})
}

// hasCrashed reports whether a target has ended that had not said that it leaves, and
// whose end was not noted yet.
func (r *Register) hasCrashed(target Target) bool {
	if last := r.crashed.Load(); last != nil && *last == target.Name() {
		return false
	}
	switch target.Fate() {
	case Left:
		return false
	case Succeeded:
		return true
	case Present:
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return errors.Is(r.options.Dial(ctx, target.Address()), syscall.ECONNREFUSED)
}

// crash notes a target's end and what it ran.
func (r *Register) crash(target Target) {
	name := target.Name()
	r.crashed.Store(&name)
	now := r.options.Now()
	crash := Crash{Target: target}
	r.flights.Range(func(flight, _ any) bool {
		f := flight.(*Flight)
		switch {
		case f.target.Name() != name:
		case r.answers.Has(r.sum(f.asked), now):
			crash.Answered++
		default:
			crash.Runs = append(crash.Runs, Run{ID: f.id, Key: bfquarantine.KeyOf(f.asked), Ran: now.Sub(f.began)})
		}
		return true
	})
	slices.SortFunc(crash.Runs, func(a, b Run) int { return cmp.Compare(a.Ran, b.Ran) })
	crash.Runs = crash.Runs[:min(len(crash.Runs), mostRuns)]
	keys := make([]bfquarantine.Key, 0, len(crash.Runs))
	for _, run := range crash.Runs {
		keys = append(keys, run.Key)
	}
	crash.Blamed = r.options.Book.Crashed(bfquarantine.CrashOf(name), keys, now)
	if r.options.Crashed != nil {
		r.options.Crashed(crash)
	}
}
