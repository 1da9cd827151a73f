package bflifecycle

import (
	"slices"
	"time"
)

// awaiting holds what arrives before the departures that earlier processes were told of are known. Until
// then neither a heartbeat nor the stored row shows that a start still accepts requests: both may be older
// than its departure.
type awaiting struct {
	// row is the target of the stored row, nil for none.
	row *Heartbeat
	// latest is the newest heartbeat of the start that sent the latest one, nil before any.
	latest *Heartbeat
	// accepting is the incarnation that has told this process that it accepts requests, "" for none.
	accepting string
	// until is when delayed heartbeats have arrived, zero while there is no bound.
	until time.Time
}

// maxHeartbeatDelay bounds the time by which heartbeats are late.
const maxHeartbeatDelay = 10 * time.Second

// hold keeps a heartbeat until the departures are known.
func (a *awaiting) hold(h Heartbeat) {
	if a.hasStart(h) && h.Sequence <= a.latest.Sequence {
		return
	}
	a.latest = &h
}

// hasStart reports whether the held heartbeat is of the same start.
func (a *awaiting) hasStart(h Heartbeat) bool {
	return a.latest != nil && a.latest.Incarnation == h.Incarnation && a.latest.Started.Equal(h.Started)
}

// AwaitDepartures has the tracker accept no start that Confirm was not called for until LearnDepartures is
// called.
func (tr *Tracker) AwaitDepartures() { tr.awaiting = &awaiting{} }

// isProvisional reports whether a start that is accepted now may have departed, as far as is known.
func (tr *Tracker) isProvisional(now time.Time) bool {
	return tr.awaiting != nil && (tr.awaiting.until.IsZero() || !now.After(tr.awaiting.until))
}

// isConfirmed reports whether a heartbeat is of a start that is known to accept requests, although it may
// not be known which starts have departed.
func (tr *Tracker) isConfirmed(h Heartbeat, now time.Time) bool {
	switch {
	case !tr.isProvisional(now):
		return true
	case tr.current != nil && tr.current.IsSameStart(h):
		return true
	}
	return tr.awaiting.accepting == h.Incarnation
}

// Confirm records that an incarnation has told this process that it accepts requests, and reports whether
// the view changed. Unlike a heartbeat, an answer to a question of this process is later than any
// departure that an earlier process was told of.
func (tr *Tracker) Confirm(incarnation string, now time.Time) bool {
	held := tr.awaiting
	if held == nil {
		return false
	}
	held.accepting = incarnation
	return held.latest != nil && held.latest.Incarnation == incarnation && tr.ApplyHeartbeat(*held.latest, now)
}

// AddDepartures adds departures that earlier processes were told of, of which there may be more, and reports
// whether the view changed.
func (tr *Tracker) AddDepartures(departures []Departure) (changed bool) {
	added := slices.DeleteFunc(slices.Clone(departures), func(d Departure) bool { return slices.Contains(tr.departed, d) })
	tr.departed = append(added, tr.departed...)
	tr.departed = tr.departed[max(0, len(tr.departed)-maxEndedStarts):]
	return tr.drainIfLeft(FromDeparture)
}

// LearnDepartures adds the departures that earlier processes were told of, applies what was held back, and
// reports whether the view changed. If complete is not set, further ones may have been lost with the store:
// a start has to be confirmed until maxHeartbeatDelay has passed.
func (tr *Tracker) LearnDepartures(departures []Departure, complete bool, now time.Time) (changed bool) {
	changed = tr.AddDepartures(departures)
	held := tr.awaiting
	if held == nil {
		return changed
	}
	if !complete {
		held.until = now.Add(maxHeartbeatDelay)
		return changed
	}
	tr.awaiting = nil
	if tr.current != nil {
		known := *tr.current
		known.provisional = false
		tr.current = &known
	}
	if held.row != nil {
		changed = tr.Restore(*held.row, now) || changed
	}
	if held.latest != nil {
		changed = tr.ApplyHeartbeat(*held.latest, now) || changed
	}
	return changed
}
