package bfhost

import (
	"bilberryflow.org/lib/bflifecycle"
)

// HandleHeartbeat applies a heartbeat of the target.
func (h *Host) HandleHeartbeat(beat bflifecycle.Heartbeat) {
	now := h.config.Timer.Now()
	var rejection bflifecycle.Rejection
	h.change(func(tr *bflifecycle.Tracker) bool {
		rejection = tr.Rejection(beat, now)
		return tr.ApplyHeartbeat(beat, now)
	})
	if rejection != "" && h.config.HeartbeatIgnored != nil {
		h.config.HeartbeatIgnored(beat, rejection)
	}
	if rejection == bflifecycle.Unconfirmed {
		h.verify(beat)
	}
}

// RestoreTarget sets the target from the row that this node stored before it restarted. It
// has no effect once the target has sent a message.
//
// Targets send heartbeats every 1.5 s. Without the stored row, a restarted node would refuse
// all requests for a running target until the next one, and other nodes would avoid the
// target for even longer. Each request carries the incarnation, so a different target at
// the address refuses it.
func (h *Host) RestoreTarget(target bflifecycle.Heartbeat) {
	now := h.config.Timer.Now()
	h.change(func(tr *bflifecycle.Tracker) bool { return tr.Restore(target, now) })
}

// HandleDeparture applies the target's departure.
func (h *Host) HandleDeparture(departure bflifecycle.Departure) {
	now := h.config.Timer.Now()
	h.change(func(tr *bflifecycle.Tracker) bool { return tr.ApplyDeparture(departure, now) })
}

// CheckDeparture returns a *bflifecycle.UnappliedError for a departure that has not ended new requests for its
// name.
func (h *Host) CheckDeparture(incarnation string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.CheckDeparture(incarnation)
}

// LearnDepartures adds the departures that earlier processes of the node were told of. If complete is not
// set, there may have been more.
func (h *Host) LearnDepartures(departures []bflifecycle.Departure, complete bool) {
	now := h.config.Timer.Now()
	h.change(func(tr *bflifecycle.Tracker) bool { return tr.LearnDepartures(departures, complete, now) })
}

// AddDepartures adds departures that earlier processes of the node were told of, as far as other nodes know.
func (h *Host) AddDepartures(departures []bflifecycle.Departure) {
	h.change(func(tr *bflifecycle.Tracker) bool { return tr.AddDepartures(departures) })
}

// change applies fn to the tracker and reports a changed view to Config.Changed and new departures to
// Config.Departed, in the order of the changes.
func (h *Host) change(fn func(*bflifecycle.Tracker) bool) {
	h.changing.Lock()
	defer h.changing.Unlock()
	target, changed, departures := h.update(fn)
	if departures != nil && h.config.Departed != nil {
		h.config.Departed(departures)
	}
	if changed {
		h.config.Changed(target)
	}
}

// update applies fn to the tracker and publishes the resulting view. departures is nil if fn added none.
func (h *Host) update(fn func(*bflifecycle.Tracker) bool) (target *bflifecycle.Target, changed bool, departures []bflifecycle.Departure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	recorded := h.tracker.Recorded()
	changed, target = fn(h.tracker), h.tracker.Current()
	h.target.Store(target)
	if changed && target != nil {
		h.gate.Announce(target.Start().Encode(), target.Slots())
	}
	if h.tracker.Recorded() != recorded {
		departures = h.tracker.Departures()
	}
	return target, changed, departures
}
