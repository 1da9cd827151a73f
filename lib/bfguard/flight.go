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

func (g *Guard) newFlights() *bfflight.Register {
	return bfflight.New(bfflight.Options{
		Book: g.parts.Quarantine, Now: g.parts.Timer.Now, Dial: dial, Crashed: g.parts.Crashed,
	})
}

// dial shows whether something listens at an address.
func dial(ctx context.Context, address string) error {
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return opened.Close()
}

// flightTarget is a target process as the register of flights knows it.
type flightTarget struct {
	guard  *Guard
	status Status
}

// Name tells the process from every other one.
func (f flightTarget) Name() string { return fmt.Sprint(f.status.Address, " ", f.status.Incarnation) }

// Address is where the target takes requests.
func (f flightTarget) Address() string { return f.status.Address }

// Fate is what was heard of the target.
func (f flightTarget) Fate() bfflight.Fate {
	now := f.guard.Status(f.guard.parts.Timer.Now())
	switch {
	case now.Incarnation != f.status.Incarnation:
		return bfflight.Succeeded
	case now.State == bfroster.TargetLeaving:
		return bfflight.Left
	}
	return bfflight.Present
}

func (v *visit) asked() bfquarantine.Request {
	return bfhop.QuarantineRequest(v.r.Method, v.r.RequestURI, v.meta.Tenant, v.body)
}

// apartPause is when to come back to a target that runs another suspected request.
const apartPause = 100 * time.Millisecond

// notBegun refuses a request that the register did not take. Where it is held, no other
// node runs it.
func (v *visit) notBegun(err error) (end, bfadmit.Outcome) {
	var held *bfflight.HeldError
	if !errors.As(err, &held) {
		return v.abort(bfrecord.ReasonOverload, apartPause), bfadmit.Unused
	}
	refusal := v.abort(bfrecord.ReasonQuarantined, held.For).(refused)
	refusal.final = true
	return refusal, bfadmit.Unused
}

// noteLoss has it found out whether the target has ended.
func (v *visit) noteLoss() {
	if v.guard.parts.Timer.Now().Before(v.deadline) {
		v.flight.Lost(v.r.Context())
	}
}
