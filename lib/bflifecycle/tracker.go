package bflifecycle

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bflimit"
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
	// arrived since the node started.
	restored bool
	// provisional is set if the start may have departed; the view is valid for provisionalTTL.
	provisional bool
	source      Source
}

// Source is what a view of the target was derived from, for logs.
type Source string

// Sources of a view.
const (
	FromHeartbeat Source = "heartbeat"
	FromRow       Source = "stored row"
	FromDeparture Source = "departure"
	FromAnswer    Source = "answer"
)

// provisionalTTL is how long a provisional view is valid. It is longer than the 1.5 s between
// two heartbeats, and shorter than the time for which a draining target keeps serving.
const provisionalTTL = 2 * time.Second

// IsStale reports whether the view is no sign of a running target: it is provisional and has exceeded its
// TTL, or was restored for a start that has left.
func (t *Target) IsStale(now time.Time) bool {
	return t.provisional && now.Sub(t.receivedAt) > provisionalTTL || t.restored && !t.acceptsWork
}

// Heartbeat is the latest heartbeat; its State is Draining once the target has said that it leaves.
func (t *Target) Heartbeat() Heartbeat { return t.heartbeat }

// Started is the target's start time by its own clock, zero if not reported.
func (t *Target) Started() time.Time { return t.heartbeat.Started }

// Incarnation is the name that the target chose at its start.
func (t *Target) Incarnation() string { return t.heartbeat.Incarnation }

// Start identifies the target's start.
func (t *Target) Start() bflimit.Start {
	return bflimit.Start{Incarnation: t.Incarnation(), Started: t.Started()}
}

// Address is the host and port at which the target accepts requests.
func (t *Target) Address() string { return t.heartbeat.Address }

// Version is the version of the target's software.
func (t *Target) Version() string { return t.heartbeat.Version }

// Slots is the number of requests that the target runs concurrently.
func (t *Target) Slots() int { return t.heartbeat.Slots }

// WarmUpLeft is the remaining warm-up time as of the latest heartbeat.
func (t *Target) WarmUpLeft() time.Duration { return t.heartbeat.WarmUpLeft }

// IsWarm reports whether the target has warmed up.
func (t *Target) IsWarm(now time.Time) bool { return now.Sub(t.receivedAt) >= t.heartbeat.WarmUpLeft }

// Sequence is that of the latest heartbeat.
func (t *Target) Sequence() int64 { return t.heartbeat.Sequence }

// Source is what this view was derived from.
func (t *Target) Source() Source { return t.source }

// AcceptsWork reports whether the target receives new requests.
func (t *Target) AcceptsWork() bool { return t.acceptsWork }

// maxEndedStarts bounds the stored departures and crashes. A delayed heartbeat arrives within
// seconds, in which few targets succeed each other.
const maxEndedStarts = 64

// Rejection is why a heartbeat is ignored, for logs.
type Rejection string

// Reasons for which heartbeats are ignored.
const (
	OtherService Rejection = "other service"
	// Departed is that of a start that has said that it leaves.
	Departed Rejection = "departed"
	// Outdated is that of a heartbeat that is older than the current view, or of another start while
	// the current target is alive.
	Outdated Rejection = "outdated"
	// Unconfirmed is that of a start that an earlier process may have been told of that it leaves.
	Unconfirmed Rejection = "unconfirmed"
)

// Tracker derives the view of the target from heartbeats, departures and crashes. It
// is not safe for concurrent use.
type Tracker struct {
	service string
	current *Target
	// departed holds the starts that have said that they leave, oldest first.
	departed []Departure
	recorded int
	// awaiting holds what arrives until the departures of earlier processes are known, nil once they
	// are.
	awaiting *awaiting
	// crashed holds the last heartbeat of each start that crashed, oldest first.
	crashed []Heartbeat
	// receivedAny is set once a message of any target has arrived since the node started.
	receivedAny bool
}

// NewTracker returns a tracker without a target, for targets of a service.
func NewTracker(service string) *Tracker { return &Tracker{service: service} }

// Current returns the present view, nil for no target.
func (tr *Tracker) Current() *Target { return tr.current }

// Restore sets the view from the node's stored row and reports whether the view changed.
// Messages from a target take precedence.
func (tr *Tracker) Restore(h Heartbeat, now time.Time) bool {
	if tr.awaiting != nil {
		tr.awaiting.row = &h
		return false
	}
	left := tr.HasLeft(h)
	if tr.current != nil || h.Service != tr.service || tr.receivedAny && !left {
		return false
	}
	if left {
		// The earlier process ended before it removed the row.
		h.State = Draining
	}
	tr.current = &Target{heartbeat: h, receivedAt: now, acceptsWork: !left, restored: true, provisional: true, source: FromRow}
	return true
}

// Rejection returns why a heartbeat would be ignored, "" if it would not be.
func (tr *Tracker) Rejection(h Heartbeat, now time.Time) Rejection {
	switch {
	case h.Service != tr.service:
		return OtherService
	case tr.HasLeft(h):
		return Departed
	case !tr.supersedes(h, now):
		return Outdated
	case h.State == Ready && !tr.isConfirmed(h, now):
		return Unconfirmed
	}
	return ""
}

// ApplyHeartbeat applies a heartbeat and reports whether the view changed.
//
// A heartbeat can arrive seconds late: one sent before the target began to drain or
// departed would route new requests to a target that exits. Sequence numbers order the
// heartbeats of one start, and a departure is final for its start.
func (tr *Tracker) ApplyHeartbeat(h Heartbeat, now time.Time) bool {
	rejection := tr.Rejection(h, now)
	if h.State == Draining && h.Service == tr.service {
		// It holds for its start whether or not that is the current one.
		tr.recordDeparture(Departure{Incarnation: h.Incarnation, Started: h.Started})
	}
	switch rejection {
	case "":
	case Unconfirmed:
		tr.awaiting.hold(h)
		return false
	default:
		return false
	}
	tr.receivedAny = true
	before := tr.current
	same := before != nil && before.IsSameStart(h)
	tr.current = &Target{heartbeat: h, receivedAt: now, acceptsWork: h.State != Draining, provisional: tr.isProvisional(now), source: FromHeartbeat}
	return !same || before.acceptsWork != tr.current.acceptsWork || before.Slots() != h.Slots
}

// IsSameStart reports whether a heartbeat belongs to this start of the target.
func (t *Target) IsSameStart(h Heartbeat) bool {
	return t.Incarnation() == h.Incarnation && t.heartbeat.Started.Equal(h.Started)
}

// supersedes reports whether a heartbeat is newer than the current view.
func (tr *Tracker) supersedes(h Heartbeat, now time.Time) bool {
	switch {
	case tr.current == nil || tr.current.restored:
		return true
	case tr.current.IsSameStart(h):
		return h.Sequence > tr.current.heartbeat.Sequence
	case tr.current.Incarnation() == h.Incarnation:
		// An earlier start time is that of an earlier start whose heartbeat was delayed, or of a later one whose
		// clock was set back.
		return h.Started.After(tr.current.heartbeat.Started) || tr.hasEnded(h, now)
	}
	// Another incarnation at the same address.
	return !tr.current.acceptsWork || tr.hasEnded(h, now)
}

// hasEnded reports whether the current start has ended, given a heartbeat of another one: only the running one
// keeps sending heartbeats.
func (tr *Tracker) hasEnded(h Heartbeat, now time.Time) bool {
	return tr.hasCrashed(tr.current.heartbeat) && !tr.hasCrashed(h) || now.Sub(tr.current.receivedAt) >= takeoverDelay
}

// Crash records the crash of a start, so that its successor is accepted without waiting
// for takeoverDelay. A later heartbeat of the same start overrides the crash.
func (tr *Tracker) Crash(h Heartbeat) {
	if len(tr.crashed) == maxEndedStarts {
		tr.crashed = tr.crashed[1:]
	}
	tr.crashed = append(tr.crashed, h)
}

// hasCrashed reports whether the start has crashed and the heartbeat is not later than the crash.
func (tr *Tracker) hasCrashed(h Heartbeat) bool {
	return slices.ContainsFunc(tr.crashed, func(c Heartbeat) bool {
		return c.Incarnation == h.Incarnation && c.Started.Equal(h.Started) && h.Sequence <= c.Sequence
	})
}

// takeoverDelay is how long a target must have sent no heartbeat before another incarnation
// replaces it. It is longer than the heartbeat interval, so that a delayed heartbeat of
// a crashed target does not replace the running one.
const takeoverDelay = 3 * time.Second

// drain ends new requests for the current start.
func (tr *Tracker) drain(source Source) {
	draining := *tr.current
	draining.acceptsWork, draining.source = false, source
	draining.heartbeat.State = Draining
	tr.current = &draining
}

// ApplyMisdirected handles a request that the target refused because it is another incarnation,
// and reports whether the view changed.
func (tr *Tracker) ApplyMisdirected(incarnation string, now time.Time) bool {
	if tr.current == nil || tr.current.Incarnation() != incarnation {
		return false
	}
	tr.ApplyDeparture(Departure{Incarnation: incarnation}, now)
	tr.current = nil
	return true
}
