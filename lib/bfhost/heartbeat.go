package bfhost

import "time"

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
	// Incarnation names one start of the target.
	Incarnation string
	// Sequence grows with each heartbeat of an incarnation.
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
}

// Incarnation names the start of the target.
func (t *Target) Incarnation() string { return t.heartbeat.Incarnation }

// Address is where the target takes requests.
func (t *Target) Address() string { return t.heartbeat.Address }

// Slots is how many requests the target works on at once.
func (t *Target) Slots() int { return t.heartbeat.Slots }

// WarmUpLeft is how much longer the target was slow after its start when it was heard.
func (t *Target) WarmUpLeft() time.Duration { return t.heartbeat.WarmUpLeft }

// Takes reports whether the target gets new work.
func (t *Target) Takes() bool { return t.takes }

// maxDeparted bounds the departed incarnations that are remembered; a late
// heartbeat comes seconds after its target, and few targets follow each other so fast.
const maxDeparted = 64

// book decides what heartbeats and departures mean; it is not safe for concurrent use.
type book struct {
	service string
	current *Target
	// departed holds the incarnations that left, oldest first.
	departed []string
}

// hear takes a heartbeat and reports whether it changed what is believed.
//
// A heartbeat can be seconds late: one sent before the target began to drain, or
// before it left, would bring new work to a target that exits. The sequence
// number orders those of one incarnation, and a departure is final.
func (b *book) hear(h Heartbeat, now time.Time) bool {
	if h.Service != b.service || b.hasLeft(h.Incarnation) {
		return false
	}
	if b.current != nil && b.current.Incarnation() == h.Incarnation {
		if h.Sequence <= b.current.heartbeat.Sequence {
			return false
		}
	} else if b.current != nil && b.current.takes && now.Sub(b.current.heard) < succession {
		// Two incarnations speak at one address. The newer one goes on speaking.
		return false
	}
	before := b.current
	draining := h.State == Draining || before != nil && before.Incarnation() == h.Incarnation && before.heartbeat.State == Draining
	if draining {
		h.State = Draining
	}
	b.current = &Target{heartbeat: h, heard: now, takes: !draining}
	return before == nil || before.takes != b.current.takes || before.Incarnation() != h.Incarnation ||
		before.Slots() != h.Slots
}

// succession is how long a target must have been silent before another
// incarnation takes its place: longer than the platform's pause between two
// heartbeats, so that a late one of a target that crashed does not replace the
// one that lives.
const succession = 3 * time.Second

// leave takes a departure and reports whether it changed what is believed.
func (b *book) leave(incarnation string) bool {
	if !b.hasLeft(incarnation) {
		b.departed = append(b.departed, incarnation)
		if len(b.departed) > maxDeparted {
			b.departed = b.departed[1:]
		}
	}
	if b.current == nil || b.current.Incarnation() != incarnation || !b.current.takes {
		return false
	}
	left := *b.current
	left.takes = false
	left.heartbeat.State = Draining
	b.current = &left
	return true
}

// replaced takes a target's own word that it is not the incarnation that was believed.
func (b *book) replaced(incarnation string) bool {
	if b.current == nil || b.current.Incarnation() != incarnation {
		return false
	}
	b.leave(incarnation)
	b.current = nil
	return true
}

func (b *book) hasLeft(incarnation string) bool {
	for _, left := range b.departed {
		if left == incarnation {
			return true
		}
	}
	return false
}
