package bfhost

import (
	"slices"
	"time"
)

// State is the state that a target reports.
type State int

// The states of a target.
const (
	// Ready targets accept new requests.
	Ready State = iota + 1
	// Draining targets only finish the requests in progress.
	Draining
)

// String returns "ready" or "draining".
func (s State) String() string {
	if s == Ready {
		return "ready"
	}
	return "draining"
}

// Heartbeat is a target's report of its own state.
type Heartbeat struct {
	// Incarnation is a name that the target chooses at its start. A restarted target may
	// reuse it.
	Incarnation string
	// Started is the target's start time by its own clock, zero if not reported. It
	// distinguishes starts with the same name.
	Started time.Time
	// Sequence increases with each heartbeat of one start.
	Sequence int64
	Service  string
	Address  string
	// Version is the version of the target's software.
	Version string
	Slots   int
	State   State
	// WarmUpLeft is the remaining warm-up time, in which the target is slow.
	WarmUpLeft time.Duration
}

// Target is the node's view of its target. It is immutable.
type Target struct {
	heartbeat Heartbeat
	// receivedAt is when the latest heartbeat arrived.
	receivedAt time.Time
	// acceptsWork is set if the target receives new requests.
	acceptsWork bool
	// restored is set if the view comes from the node's stored row and no heartbeat has
	// arrived since the node started. It is valid for restoredTTL.
	restored bool
}

// restoredTTL is how long a restored view is valid. It is longer than the 1.5 s between
// two heartbeats, and shorter than the time for which a draining target keeps serving.
const restoredTTL = 2 * time.Second

// isStale reports whether the view was restored and has exceeded its TTL.
func (t *Target) isStale(now time.Time) bool {
	return t.restored && now.Sub(t.receivedAt) > restoredTTL
}

// Started is the target's start time by its own clock, zero if not reported.
func (t *Target) Started() time.Time { return t.heartbeat.Started }

// Incarnation is the name that the target chose at its start.
func (t *Target) Incarnation() string { return t.heartbeat.Incarnation }

// Address is the host and port at which the target accepts requests.
func (t *Target) Address() string { return t.heartbeat.Address }

// Version is the version of the target's software.
func (t *Target) Version() string { return t.heartbeat.Version }

// Slots is the number of requests that the target runs concurrently.
func (t *Target) Slots() int { return t.heartbeat.Slots }

// WarmUpLeft is the remaining warm-up time as of the latest heartbeat.
func (t *Target) WarmUpLeft() time.Duration { return t.heartbeat.WarmUpLeft }

// isWarm reports whether the target has warmed up.
func (t *Target) isWarm(now time.Time) bool { return now.Sub(t.receivedAt) >= t.heartbeat.WarmUpLeft }

// AcceptsWork reports whether the target receives new requests.
func (t *Target) AcceptsWork() bool { return t.acceptsWork }

// Departure is a target's message that it exits.
type Departure struct {
	Incarnation string
	// Started identifies the start that exits, zero if not reported.
	Started time.Time
}

// maxEndedStarts bounds the stored departures and crashes. A delayed heartbeat arrives within
// seconds, in which few targets succeed each other.
const maxEndedStarts = 64

// targetTracker derives the view of the target from heartbeats, departures and crashes. It
// is not safe for concurrent use.
type targetTracker struct {
	service string
	current *Target
	// departed holds the starts that departed, oldest first.
	departed []Departure
	// crashed holds the last heartbeat of each start that crashed, oldest first.
	crashed []Heartbeat
	// receivedAny is set once a message of any target has arrived since the node started.
	receivedAny bool
}

// restore sets the view from the node's stored row and reports whether the view changed.
// Messages from a target take precedence.
func (b *targetTracker) restore(h Heartbeat, now time.Time) bool {
	if b.receivedAny || b.current != nil || h.Service != b.service {
		return false
	}
	b.current = &Target{heartbeat: h, receivedAt: now, acceptsWork: true, restored: true}
	return true
}

// applyHeartbeat applies a heartbeat and reports whether the view changed.
//
// A heartbeat can arrive seconds late: one sent before the target began to drain or
// departed would route new requests to a target that exits. Sequence numbers order the
// heartbeats of one start, and a departure is final for its start.
func (b *targetTracker) applyHeartbeat(h Heartbeat, now time.Time) bool {
	if h.Service != b.service || b.hasLeft(h) || !b.supersedes(h, now) {
		return false
	}
	b.receivedAny = true
	before := b.current
	// Draining does not carry over to a later start with the same name.
	same := before != nil && before.isSameStart(h)
	if same && before.heartbeat.State == Draining {
		h.State = Draining
	}
	b.current = &Target{heartbeat: h, receivedAt: now, acceptsWork: h.State != Draining}
	return !same || before.acceptsWork != b.current.acceptsWork || before.Slots() != h.Slots
}

// isSameStart reports whether a heartbeat belongs to this start of the target.
func (t *Target) isSameStart(h Heartbeat) bool {
	return t.Incarnation() == h.Incarnation && t.heartbeat.Started.Equal(h.Started)
}

// supersedes reports whether a heartbeat is newer than the current view.
func (b *targetTracker) supersedes(h Heartbeat, now time.Time) bool {
	switch {
	case b.current == nil || b.current.restored:
		return true
	case b.current.isSameStart(h):
		return h.Sequence > b.current.heartbeat.Sequence
	case b.current.Incarnation() == h.Incarnation:
		return h.Started.After(b.current.heartbeat.Started)
	}
	// Another incarnation at the same address. Only the running one keeps sending heartbeats.
	return !b.current.acceptsWork || b.hasCrashed(b.current.heartbeat) && !b.hasCrashed(h) || now.Sub(b.current.receivedAt) >= takeoverDelay
}

// crash records the crash of a start, so that its successor is accepted without waiting
// for takeoverDelay. A later heartbeat of the same start overrides the crash.
func (b *targetTracker) crash(h Heartbeat) {
	if len(b.crashed) == maxEndedStarts {
		b.crashed = b.crashed[1:]
	}
	b.crashed = append(b.crashed, h)
}

// hasCrashed reports whether the start has crashed and the heartbeat is not later than the crash.
func (b *targetTracker) hasCrashed(h Heartbeat) bool {
	return slices.ContainsFunc(b.crashed, func(c Heartbeat) bool {
		return c.Incarnation == h.Incarnation && c.Started.Equal(h.Started) && h.Sequence <= c.Sequence
	})
}

// takeoverDelay is how long a target must have sent no heartbeat before another incarnation
// replaces it. It is longer than the heartbeat interval, so that a delayed heartbeat of
// a crashed target does not replace the running one.
const takeoverDelay = 3 * time.Second

// applyDeparture applies a departure and reports whether the view changed.
func (b *targetTracker) applyDeparture(d Departure, now time.Time) bool {
	b.receivedAny = true
	d.Started = b.departedStart(d, now)
	if !slices.Contains(b.departed, d) {
		b.departed = append(b.departed, d)
		if len(b.departed) > maxEndedStarts {
			b.departed = b.departed[1:]
		}
	}
	if b.current == nil || !b.current.acceptsWork || !d.covers(b.current.heartbeat) {
		return false
	}
	b.drain()
	return true
}

// drain ends new requests for the current start.
func (b *targetTracker) drain() {
	draining := *b.current
	draining.acceptsWork = false
	draining.heartbeat.State = Draining
	b.current = &draining
}

// departedStart is the start time of the departed target. A departure without one belongs to the
// start of the latest heartbeat; without a heartbeat, now is an upper bound.
func (b *targetTracker) departedStart(d Departure, now time.Time) time.Time {
	switch {
	case !d.Started.IsZero():
		return d.Started
	case b.current != nil && b.current.Incarnation() == d.Incarnation:
		return b.current.heartbeat.Started
	}
	return time.UnixMilli(now.UnixMilli())
}

// covers reports whether a heartbeat belongs to the departed start or an earlier one.
func (d Departure) covers(h Heartbeat) bool {
	return d.Incarnation == h.Incarnation && !h.Started.After(d.Started)
}

// applyMisdirected handles a request that the target refused because it is another incarnation,
// and reports whether the view changed.
func (b *targetTracker) applyMisdirected(incarnation string, now time.Time) bool {
	if b.current == nil || b.current.Incarnation() != incarnation {
		return false
	}
	b.applyDeparture(Departure{Incarnation: incarnation}, now)
	b.current = nil
	return true
}

// hasLeft reports whether the start of a heartbeat has departed.
func (b *targetTracker) hasLeft(h Heartbeat) bool {
	return slices.ContainsFunc(b.departed, func(d Departure) bool { return d.covers(h) })
}
