package bflifecycle

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bflimit"
)

// Departure says of one start of a target that it leaves: it gets no new requests and exits.
type Departure struct {
	Incarnation string
	// Started identifies the start that exits, zero if not reported.
	Started time.Time
}

// covers reports whether a heartbeat belongs to the departed start or an earlier one.
func (d Departure) covers(h Heartbeat) bool {
	return d.Incarnation == h.Incarnation && !h.Started.After(d.Started)
}

// Departures returns the starts that have said that they leave, oldest first.
func (tr *Tracker) Departures() []Departure { return slices.Clone(tr.departed) }

// Recorded is the number of departures that were recorded since the start of the node.
func (tr *Tracker) Recorded() int { return tr.recorded }

// recordDeparture records that a start leaves.
func (tr *Tracker) recordDeparture(d Departure) {
	if slices.Contains(tr.departed, d) {
		return
	}
	tr.recorded++
	tr.departed = append(tr.departed, d)
	if len(tr.departed) > maxEndedStarts {
		tr.departed = tr.departed[1:]
	}
}

// HasLeft reports whether the start of a heartbeat has said that it leaves.
func (tr *Tracker) HasLeft(h Heartbeat) bool {
	return slices.ContainsFunc(tr.departed, func(d Departure) bool { return d.covers(h) })
}

// ApplyDeparture applies a departure and reports whether the view changed.
func (tr *Tracker) ApplyDeparture(d Departure, now time.Time) bool {
	tr.receivedAny = true
	d.Started = tr.departedStart(d, now)
	tr.recordDeparture(d)
	return tr.drainIfLeft(FromDeparture)
}

// UnappliedError reports a departure that must not be acknowledged: its name is that of the current start, which
// accepts work and may be the one that leaves, if its clock was set back before it started.
type UnappliedError struct{ Incarnation string }

// Error includes the name.
func (e *UnappliedError) Error() string {
	return "departure of a start of " + e.Incarnation + " that is not the current one"
}

// CheckDeparture returns an *UnappliedError for a departure that has not ended new requests for its name.
func (tr *Tracker) CheckDeparture(incarnation string) error {
	if tr.current == nil || !tr.current.acceptsWork || tr.current.Incarnation() != incarnation {
		return nil
	}
	return &UnappliedError{Incarnation: incarnation}
}

// drainIfLeft ends new requests for the current start if it has said that it leaves, and reports
// whether the view changed.
func (tr *Tracker) drainIfLeft(source Source) bool {
	if tr.current == nil || !tr.current.acceptsWork || !tr.HasLeft(tr.current.heartbeat) {
		return false
	}
	tr.drain(source)
	return true
}

// departedStart is the start time of the departed target. A departure without one belongs to the
// start of the latest heartbeat; without a heartbeat, now is an upper bound, which a repeated report
// doesn't change.
func (tr *Tracker) departedStart(d Departure, now time.Time) time.Time {
	switch {
	case !d.Started.IsZero():
		return d.Started
	case tr.current != nil && tr.current.Incarnation() == d.Incarnation:
		return tr.current.heartbeat.Started
	}
	for _, known := range tr.departed {
		if known.Incarnation == d.Incarnation {
			return known.Started
		}
	}
	return time.UnixMilli(now.UnixMilli())
}

// ApplyLeaving applies a start's statement in an answer that it leaves, and reports whether the view
// changed.
func (tr *Tracker) ApplyLeaving(leaving bflimit.Start) bool {
	if tr.current == nil || !tr.current.acceptsWork || !tr.current.Start().Equal(leaving) {
		return false
	}
	tr.recordDeparture(Departure{Incarnation: leaving.Incarnation, Started: leaving.Started})
	return tr.drainIfLeft(FromAnswer)
}
