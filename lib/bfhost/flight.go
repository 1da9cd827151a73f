package bfhost

import (
	"errors"
	"time"

	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfquarantine"
)

// Asked is what a request asks for; callerHeader names on whose behalf.
//
// A caller may send the same body with its length or in chunks, so the length that the
// request states does not count.
func Asked(r *bfexchange.Request, callerHeader string) bfquarantine.Request {
	caller := ""
	if named := r.Header[callerHeader]; len(named) > 0 {
		caller = named[0]
	}
	asked := bfquarantine.Request{Method: r.Method, Host: r.Host, Target: r.Target, Caller: caller, Body: r.Head, Length: int64(len(r.Head))}
	if r.Rest != nil {
		asked.Length = bfquarantine.LongBody
	}
	return asked
}

func (h *Host) asked(job Job) bfquarantine.Request {
	return Asked(job.Request, h.parts.Names.CallerService)
}

// newFlights makes the register of what the target works on.
func (h *Host) newFlights() *bfflight.Register {
	return bfflight.New(bfflight.Options{
		Book: h.parts.Quarantine, Now: h.parts.Timer.Now, Crashed: h.crashed,
		// A connection that opens is kept for the next request: the lost one has cost its own.
		Dial: h.parts.Client.Preconnect,
	})
}

// crashed takes the end of the target.
func (h *Host) crashed(crash bfflight.Crash) {
	h.mu.Lock()
	h.book.crash(crash.Target.(flightTarget).heartbeat)
	h.mu.Unlock()
	if h.parts.Crashed != nil {
		h.parts.Crashed(crash)
	}
}

// flightTarget is a target as the register of flights knows it.
type flightTarget struct {
	host *Host
	*Target
}

// Name tells the start from every other one.
func (f flightTarget) Name() string {
	return f.Address() + " " + f.Incarnation() + " " + f.Started().Format(time.RFC3339Nano)
}

// Fate is what was heard of the target.
func (f flightTarget) Fate() bfflight.Fate {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	current := f.host.book.current
	same := current != nil && current.isStart(f.heartbeat)
	switch {
	case f.host.book.hasLeft(f.heartbeat), same && !current.takes:
		return bfflight.Left
	case current != nil && !same:
		return bfflight.Succeeded
	}
	return bfflight.Present
}

// notBegun is the refusal of a request that the register did not take.
func notBegun(err error) Result {
	var held *bfflight.HeldError
	if errors.As(err, &held) {
		return Refused{Reason: Quarantined, RetryAfter: held.For}
	}
	// Another target may run it apart.
	return Refused{Reason: Full}
}
