package bfhost

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bflimit"
)

// LimitChange is a change of what the target says about its limit, for logs.
type LimitChange struct {
	// Incarnation is that of the target.
	Incarnation string
	// Limit is the new limit, nil if the answer's could not be read.
	Limit bflimit.Statement
	// Err is why it could not be read.
	Err error
}

// observeLimit applies what the header of the target's answer says about its limit.
func (h *Host) observeLimit(target *bflifecycle.Target, header http.Header, sent time.Time) {
	if h.config.Names.Limit == "" {
		return
	}
	said, err := bflimit.Parse(header[h.config.Names.Limit])
	if err != nil {
		h.config.LimitChanged(LimitChange{Incarnation: target.Incarnation(), Err: err})
		return
	}
	if h.limit.Observe(target.Start(), said, sent, h.config.Timer.Now()) {
		h.config.LimitChanged(LimitChange{Incarnation: target.Incarnation(), Limit: said})
	}
}

// Capacity is the load of the target as entries should see it: its slots in use, and those that its
// limit lets requests use.
func (h *Host) Capacity() (used, slots int) {
	used, slots = h.gate.Load()
	return used, h.limit.Slots(slots, h.gate.OverallMeanHold())
}

// awaitPermit waits until the target's limit allows the job. It returns a Refused if it does not
// within the job's wait, and an Expired if ctx ends first.
func (h *Host) awaitPermit(ctx context.Context, target *bflifecycle.Target, job Job) (bflimit.Permit, Result) {
	now := h.config.Timer.Now()
	h.limit.Adopt(target.Start(), job.KnownLimit, now)
	permit, err := h.limit.Admit(target.Start(), bflimit.Request{Late: job.Policy.Late, MaxWait: job.Policy.MaxSlotWait}, now)
	var limited *bflimit.LimitedError
	if errors.As(err, &limited) {
		return permit, Refused{Reason: Limited, RetryAfter: limited.RetryAfter}
	}
	if permit.Wait() > 0 && h.config.Timer.Wait(ctx, permit.Wait()) != nil {
		h.limit.Cancel(permit)
		return permit, Expired{}
	}
	return permit, nil
}
