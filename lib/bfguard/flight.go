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

// dial reports whether something listens at address.
func dial(ctx context.Context, address string) error {
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return opened.Close()
}

// flightTarget adapts a target process to the register of flights.
type flightTarget struct {
	guard  *Guard
	status Status
}

// Name identifies the target process.
func (f flightTarget) Name() string { return fmt.Sprint(f.status.Address, " ", f.status.Incarnation) }

// Address is the address at which the target serves requests.
func (f flightTarget) Address() string { return f.status.Address }

// State returns what is known of the target process from announcements.
func (f flightTarget) State() bfflight.State {
	now := f.guard.Status(f.guard.config.Timer.Now())
	switch {
	case now.Incarnation != f.status.Incarnation:
		return bfflight.Replaced
	case now.State == bfroster.TargetLeaving:
		return bfflight.Left
	}
	return bfflight.Running
}

func (in *inboundRequest) quarantineRequest() bfquarantine.Request {
	return bfhop.QuarantineRequest(in.r.Method, in.r.RequestURI, in.meta.Tenant, in.body)
}

// suspectRetryAfter is the retry delay while the target runs another request that is suspected of crashing targets.
const suspectRetryAfter = 100 * time.Millisecond

// refuseFlight refuses a request that the register rejected. A quarantined request is
// refused for all nodes.
func (in *inboundRequest) refuseFlight(err error) (inboundResult, bfadmit.Outcome) {
	var held *bfflight.HeldError
	if !errors.As(err, &held) {
		return in.abort(bfrecord.ReasonOverload, suspectRetryAfter), bfadmit.Unused
	}
	refusal := in.abort(bfrecord.ReasonQuarantined, held.For).(refused)
	refusal.final = true
	return refusal, bfadmit.Unused
}

// reportLoss makes the register check whether the target has ended.
func (in *inboundRequest) reportLoss() {
	if in.guard.config.Timer.Now().Before(in.deadline) {
		in.flight.CheckCrash(in.r.Context())
	}
}
