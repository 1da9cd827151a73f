package bfhost

import (
	"errors"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bfquarantine"
)

// NewQuarantineRequest returns what the quarantine identifies a request by; callerHeader is the
// header with the caller's service.
//
// The stated length is ignored, since a caller may send the same body with a
// Content-Length or chunked.
func NewQuarantineRequest(r *bfexchange.Request, callerHeader string) bfquarantine.Request {
	caller := ""
	if named := r.Header[callerHeader]; len(named) > 0 {
		caller = named[0]
	}
	request := bfquarantine.Request{Method: r.Method, Host: r.Host, Target: r.Target, Caller: caller, Body: r.Head, Length: int64(len(r.Head))}
	if r.Rest != nil {
		request.Length = bfquarantine.LongBody
	}
	return request
}

func (h *Host) newQuarantineRequest(job Job) bfquarantine.Request {
	return NewQuarantineRequest(job.Request, h.config.Names.CallerService)
}

// newFlightTracker makes the tracker of the requests in flight at the target.
func (h *Host) newFlightTracker() *bfflight.Tracker {
	return bfflight.New(bfflight.Options{
		Book: h.config.Quarantine, Now: h.config.Timer.Now, Crashed: h.crashed,
		// A successful dial leaves an idle connection, which replaces the broken one.
		Dial: h.config.Client.Preconnect,
	})
}

// crashed records a crash of the target.
func (h *Host) crashed(crash bfflight.Crash) {
	h.mu.Lock()
	h.tracker.Crash(crash.Target.(flightTarget).Heartbeat())
	h.mu.Unlock()
	if h.config.Crashed != nil {
		h.config.Crashed(crash)
	}
}

// flightTarget is one start of the target, for the tracker of requests in flight.
type flightTarget struct {
	host *Host
	*bflifecycle.Target
}

// Name identifies the start of the target.
func (f flightTarget) Name() string {
	return f.Address() + " " + f.Incarnation() + " " + f.Started().Format(time.RFC3339Nano)
}

// State is the state of this start of the target as of the latest heartbeat or departure.
func (f flightTarget) State() bfflight.State {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	current := f.host.tracker.Current()
	same := current != nil && current.IsSameStart(f.Heartbeat())
	switch {
	case f.host.tracker.HasLeft(f.Heartbeat()), same && !current.AcceptsWork():
		return bfflight.Left
	case current != nil && !same:
		return bfflight.Replaced
	}
	return bfflight.Running
}

// flightRefusal is the refusal of a request that the tracker of requests in flight rejected.
func flightRefusal(err error) Result {
	var quarantined *bfflight.HeldError
	if errors.As(err, &quarantined) {
		return Refused{Reason: Quarantined, RetryAfter: quarantined.For}
	}
	// Another target may be free to run the suspected request alone.
	return Refused{Reason: Full}
}
