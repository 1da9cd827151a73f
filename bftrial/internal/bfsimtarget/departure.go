package bfsimtarget

import (
	"context"
	"time"

	"bilberryflow.org/lib/bflifecycle"
)

// Departure is how a target departs, and what happens beside it.
type Departure struct {
	// Announced is set if the target reports that it drains, otherwise it sends its departure.
	Announced bool
	// Late is the number of heartbeats from before the departure that arrive after it, the first one
	// lateBy after the acknowledgement.
	Late int
	// AckLimit is how long the target repeats the report until it is acknowledged.
	AckLimit time.Duration
	// Acknowledged is called once it is.
	Acknowledged func()
}

const (
	// lateBy is how long after the acknowledgement a late heartbeat arrives.
	lateBy = 3 * time.Second
	// lateInterval is the time between two late heartbeats.
	lateInterval = 1400 * time.Millisecond
	// servingOn is how long a departed target still serves.
	servingOn = 7 * time.Second
	// retryInterval is the time between two attempts to report a departure.
	retryInterval = 100 * time.Millisecond
)

// Depart reports that the target leaves, serves on for a while and exits. The error is that of the last
// attempt if the report was not acknowledged.
func (t *Target) Depart(ctx context.Context, d Departure) error {
	var held []bflifecycle.Heartbeat
	for range d.Late {
		held = append(held, t.heartbeat())
	}
	t.state.Store(0) // ends the heartbeats
	if err := t.reportDeparture(ctx, d); err != nil {
		t.Exit()
		return err
	}
	acknowledged := time.Now()
	t.config.Log.RecordDeparture(t.id)
	d.Acknowledged()
	for i, beat := range held {
		time.Sleep(time.Until(acknowledged.Add(lateBy + time.Duration(i)*lateInterval)))
		// The node may be down at this moment; the heartbeat is lost then.
		_ = t.reports.SendHeartbeat(ctx, beat)
	}
	time.Sleep(time.Until(acknowledged.Add(servingOn)))
	t.Exit()
	return nil
}

// reportDeparture repeats the report until it is acknowledged.
func (t *Target) reportDeparture(ctx context.Context, d Departure) error {
	for began := time.Now(); ; time.Sleep(retryInterval) {
		err := t.reportDepartureOnce(ctx, d.Announced)
		if err == nil || time.Since(began) > d.AckLimit || ctx.Err() != nil {
			return err
		}
	}
}

func (t *Target) reportDepartureOnce(ctx context.Context, announced bool) error {
	if !announced {
		return t.reports.SendDeparture(ctx, bflifecycle.Departure{Incarnation: t.id})
	}
	draining := t.heartbeat()
	draining.State = bflifecycle.Draining
	return t.reports.SendHeartbeat(ctx, draining)
}
