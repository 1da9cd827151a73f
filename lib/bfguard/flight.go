package bfguard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"bilberryflow.org/lib/bfadmit"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfroster"
)

func (g *Guard) newFlights() *bfflight.Tracker {
	return bfflight.New(bfflight.Options{
		Book: g.config.Quarantine, Now: g.config.Timer.Now, Dial: dial, Crashed: g.config.Crashed,
	})
}

// dial returns an error if no TCP connection to address can be opened.
func dial(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// flightTarget adapts a target process to the flight tracker.
type flightTarget struct {
	guard  *Guard
	status Status
}

// Name returns the target's address and incarnation, which identify the process.
func (f flightTarget) Name() string { return fmt.Sprint(f.status.Address, " ", f.status.Incarnation) }

// Address returns the address at which the target serves requests.
func (f flightTarget) Address() string { return f.status.Address }

// State derives the state of the target process from the announcements received.
func (f flightTarget) State() bfflight.State {
	current := f.guard.Status(f.guard.config.Timer.Now())
	switch {
	case current.Incarnation != f.status.Incarnation:
		return bfflight.Replaced
	case current.State == bfroster.TargetLeaving:
		return bfflight.Left
	}
	return bfflight.Running
}

func (in *inboundRequest) quarantineRequest() bfquarantine.Request {
	return bfhop.QuarantineRequest(in.r.Method, in.r.RequestURI, in.meta.Tenant, in.body)
}

// suspectRetryAfter is the retry delay while the target runs another request that is suspected of crashing targets.
const suspectRetryAfter = 100 * time.Millisecond

// refuseFlight refuses a request that the flight tracker rejected. The refusal of a
// quarantined request is final, so no node retries it.
func (in *inboundRequest) refuseFlight(err error) (inboundResult, bfadmit.Outcome) {
	var held *bfflight.HeldError
	if !errors.As(err, &held) {
		return in.abort(bfrecord.ReasonOverload, suspectRetryAfter), bfadmit.Unused
	}
	refusal := in.abort(bfrecord.ReasonQuarantined, held.For).(refused)
	refusal.final = true
	return refusal, bfadmit.Unused
}

// reportLoss makes the flight tracker check whether the target has crashed, unless the
// request's deadline has passed.
func (in *inboundRequest) reportLoss() {
	if in.guard.config.Timer.Now().Before(in.deadline) {
		in.flight.CheckCrash(in.r.Context())
	}
}
