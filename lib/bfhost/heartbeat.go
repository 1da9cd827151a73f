package bfhost

import (
	"slices"
	"time"
)

// State is what a target says of itself.
type State int

// The states of a target.
const (
	// Ready targets take new work.
	Ready State = iota + 1
	// Draining targets finish what they have.
	Draining
)

// String is the state in a word.
func (s State) String() string {
	if s == Ready {
		return "ready"
	}
	return "draining"
}

// Heartbeat is a target's word about itself.
type Heartbeat struct {
	// Incarnation is the name that the target gives itself. It may start again under
	// the name that it had.
	Incarnation string
	// Started is when it started by its own clock, zero where it does not say. It
	// tells the starts under one name apart.
	Started time.Time
	// Sequence grows with each heartbeat of a start.
	Sequence int64
	Service  string
	Address  string
	Slots    int
	State    State
	// WarmUpLeft is how much longer the target is slow after its start.
	WarmUpLeft time.Duration
}

// Target is what is believed of the target; it never changes once made.
type Target struct {
	heartbeat Heartbeat
	// heard is when the newest heartbeat came.
	heard time.Time
	// takes says that the target gets new work.
	takes bool
	// recalled says that the target was not heard since this node started: it is
	// believed for recallTime by what the node wrote down before.
	recalled bool
}

// recallTime is how long a target is believed that has not spoken since its node
// started. It is longer than the 1.5 s between two heartbeats, and shorter than the time
// for which a target that drains serves on.
const recallTime = 2 * time.Second

// isStale reports whether what is believed was only recalled, too long ago.
func (t *Target) isStale(now time.Time) bool { return t.recalled && now.Sub(t.heard) > recallTime }

// Started is when the target started by its own clock, zero where it does not say.
func (t *Target) Started() time.Time { return t.heartbeat.Started }

// Incarnation is the name that the target gave itself.
func (t *Target) Incarnation() string { return t.heartbeat.Incarnation }

// Address is where the target takes requests.
func (t *Target) Address() string { return t.heartbeat.Address }

// Slots is how many requests the target works on at once.
func (t *Target) Slots() int { return t.heartbeat.Slots }

// WarmUpLeft is how much longer the target was slow after its start when it was heard.
func (t *Target) WarmUpLeft() time.Duration { return t.heartbeat.WarmUpLeft }

// Takes reports whether the target gets new work.
func (t *Target) Takes() bool { return t.takes }

// Departure is a target's word that it leaves.
type Departure struct {
	Incarnation string
	// Started is when the start that leaves began, zero where it does not say.
	Started time.Time
}

// maxDeparted bounds the departures that are remembered; a late heartbeat comes
// seconds after its target, and few targets follow each other so fast.
const maxDeparted = 64

// book decides what heartbeats and departures mean; it is not safe for concurrent use.
type book struct {
	service string
	current *Target
	// departed holds the starts that left, oldest first.
	departed []Departure
	// crashed holds the starts that ended without a word, oldest first.
	crashed []Heartbeat
	// spoken says that a target has spoken to this node since it started.
	spoken bool
}

// recall takes what this node wrote down of its target before it started, and reports
// whether that changed what is believed. The target's own word goes before it.
func (b *book) recall(h Heartbeat, now time.Time) bool {
	if b.spoken || b.current != nil || h.Service != b.service {
		return false
	}
	b.current = &Target{heartbeat: h, heard: now, takes: true, recalled: true}
	return true
}

// hear takes a heartbeat and reports whether it changed what is believed.
//
// A heartbeat can be seconds late: one sent before the target began to drain, or
// before it left, would bring new work to a target that exits. The sequence
// number orders those of one start, and a departure is final for it.
func (b *book) hear(h Heartbeat, now time.Time) bool {
	if h.Service != b.service || b.hasLeft(h) || !b.follows(h, now) {
		return false
	}
	b.spoken = true
	before := b.current
	// A later start under the same name knows nothing of what the earlier one said.
	same := before != nil && before.isStart(h)
	if same && before.heartbeat.State == Draining {
		h.State = Draining
	}
	b.current = &Target{heartbeat: h, heard: now, takes: h.State != Draining}
	return !same || before.takes != b.current.takes || before.Slots() != h.Slots
}

// isStart reports whether a heartbeat is one of the target's start.
func (t *Target) isStart(h Heartbeat) bool {
	return t.Incarnation() == h.Incarnation && t.heartbeat.Started.Equal(h.Started)
}

// follows reports whether a heartbeat is newer than what is believed.
func (b *book) follows(h Heartbeat, now time.Time) bool {
	switch {
	case b.current == nil || b.current.recalled:
		return true
	case b.current.isStart(h):
		return h.Sequence > b.current.heartbeat.Sequence
	case b.current.Incarnation() == h.Incarnation:
		return h.Started.After(b.current.heartbeat.Started)
	}
	// Two incarnations speak at one address. The newer one goes on speaking.
	return !b.current.takes || b.hasCrashed(b.current.heartbeat) && !b.hasCrashed(h) || now.Sub(b.current.heard) >= succession
}

// crash takes the end of a start that had not said that it leaves: the next one need not
// wait until it has been silent for long. Its own word, if it comes, goes before that.
func (b *book) crash(h Heartbeat) {
	if len(b.crashed) == maxDeparted {
		b.crashed = b.crashed[1:]
	}
	b.crashed = append(b.crashed, h)
}

// hasCrashed reports whether the start of a heartbeat ended, and was not heard later than that.
func (b *book) hasCrashed(h Heartbeat) bool {
	return slices.ContainsFunc(b.crashed, func(c Heartbeat) bool {
		return c.Incarnation == h.Incarnation && c.Started.Equal(h.Started) && h.Sequence <= c.Sequence
	})
}

// succession is how long a target must have been silent before another
// incarnation takes its place: longer than the platform's pause between two
// heartbeats, so that a late one of a target that crashed does not replace the
// one that lives.
const succession = 3 * time.Second

// leave takes a departure and reports whether it changed what is believed.
func (b *book) leave(d Departure, now time.Time) bool {
	b.spoken = true
	d.Started = b.startOf(d, now)
	if !slices.Contains(b.departed, d) {
		b.departed = append(b.departed, d)
		if len(b.departed) > maxDeparted {
			b.departed = b.departed[1:]
		}
	}
	if b.current == nil || !b.current.takes || !d.covers(b.current.heartbeat) {
		return false
	}
	left := *b.current
	left.takes = false
	left.heartbeat.State = Draining
	b.current = &left
	return true
}

// startOf is the start that leaves. A departure that does not say is that of the start
// which was heard last; of one that was never heard it is known only that it began
// before it left.
func (b *book) startOf(d Departure, now time.Time) time.Time {
	switch {
	case !d.Started.IsZero():
		return d.Started
	case b.current != nil && b.current.Incarnation() == d.Incarnation:
		return b.current.heartbeat.Started
	}
	return time.UnixMilli(now.UnixMilli())
}

// covers reports whether a heartbeat is of the start that left or of an earlier one.
func (d Departure) covers(h Heartbeat) bool {
	return d.Incarnation == h.Incarnation && !h.Started.After(d.Started)
}

// replaced takes a target's own word that it is not the incarnation that was believed.
func (b *book) replaced(incarnation string, now time.Time) bool {
	if b.current == nil || b.current.Incarnation() != incarnation {
		return false
	}
	b.leave(Departure{Incarnation: incarnation}, now)
	b.current = nil
	return true
}

func (b *book) hasLeft(h Heartbeat) bool {
	return slices.ContainsFunc(b.departed, func(d Departure) bool { return d.covers(h) })
}
