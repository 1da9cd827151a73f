package bfhost

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfquarantine"
)

// Crash is the end of a target that had not said that it leaves.
type Crash struct {
	Target *Target
	// Runs are the requests that it worked on, those that began last first.
	Runs []CrashedRun
	// Blamed are those of them that the end speaks against.
	Blamed []bfquarantine.Key
}

// CrashedRun is one request that a target worked on when it ended.
type CrashedRun struct {
	ID  string
	Key bfquarantine.Key
	// Ran is how long the target had worked on it.
	Ran time.Duration
}

// mostCrashedRuns bounds the runs that are told of one crash.
const mostCrashedRuns = 64

// probeTimeout bounds the connection that shows whether the target is there still: it is
// on the same machine.
const probeTimeout = 100 * time.Millisecond

// Asked is what a request asks for; callerHeader names on whose behalf.
func Asked(r *bfexchange.Request, callerHeader string) bfquarantine.Request {
	caller := ""
	if named := r.Header[callerHeader]; len(named) > 0 {
		caller = named[0]
	}
	return bfquarantine.Request{Method: r.Method, Host: r.Host, Target: r.Target, Caller: caller, Body: r.Head, Length: r.Length}
}

// noteLoss finds out, after a request that brought no answer, whether the target has
// ended. All that it ran is lost at one moment, and one of them finds out for all; until
// then each counts as running.
func (h *Host) noteLoss(ctx context.Context, f *flight) {
	if ctx.Err() != nil {
		// Its caller left or its time is over.
		return
	}
	// It never fails.
	_, _, _ = h.probes.Do(f.target.name(), func() (any, error) {
		if h.hasCrashed(f.target) {
			h.crashed(f.target)
		}
		return nil, nil
	})
}

// hasCrashed reports whether a target has ended that had not said that it leaves.
func (h *Host) hasCrashed(t *Target) bool {
	h.mu.Lock()
	current := h.book.current
	left := h.book.hasLeft(t.heartbeat) || current != nil && current.isStart(t.heartbeat) && !current.takes
	succeeded := current != nil && !current.isStart(t.heartbeat)
	noted := h.lastCrash == t.name()
	h.mu.Unlock()
	switch {
	case left || noted:
		return false
	case succeeded:
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	// A connection that opens is kept for the next request: the lost one has cost its own.
	return errors.Is(h.parts.Client.Warm(ctx, t.Address()), syscall.ECONNREFUSED)
}

// crashed tells of a target's end and what it ran.
func (h *Host) crashed(t *Target) {
	h.mu.Lock()
	h.lastCrash = t.name()
	h.mu.Unlock()
	now := h.parts.Timer.Now()
	crash := Crash{Target: t}
	h.runs.Range(func(_, value any) bool {
		if f := value.(*flight); f.target.isStart(t.heartbeat) {
			crash.Runs = append(crash.Runs, CrashedRun{ID: f.id, Key: bfquarantine.KeyOf(f.asked), Ran: now.Sub(f.began)})
		}
		return true
	})
	slices.SortFunc(crash.Runs, func(a, b CrashedRun) int { return cmp.Compare(a.Ran, b.Ran) })
	crash.Runs = crash.Runs[:min(len(crash.Runs), mostCrashedRuns)]
	crash.Blamed = h.parts.Quarantine.Crashed(bfquarantine.CrashOf(t.name()), crash.keys(), now)
	if h.parts.Crashed != nil {
		h.parts.Crashed(crash)
	}
}

func (c Crash) keys() []bfquarantine.Key {
	keys := make([]bfquarantine.Key, 0, len(c.Runs))
	for _, run := range c.Runs {
		keys = append(keys, run.Key)
	}
	return keys
}
