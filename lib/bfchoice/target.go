package bfchoice

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// usualService stands in for a service time that no target has reported yet.
	usualService = 50 * time.Millisecond
	// trustedServices is how many service times a report is worth something for:
	// its weight falls to 1/e in that time.
	trustedServices = 2
	// typicalShare is what one report moves the typical occupancy by.
	typicalShare = 1.0 / 16
)

// Load is what a target's node piggybacks on its answers.
type Load struct {
	InUse  int `json:"inUse"`
	Queued int `json:"queued"`
	// Slots is how many the target's node would use now: less than its full number while cold or shedding.
	Slots int `json:"slots"`
	// ServiceTime is how long a request runs there on average, 0 if unknown.
	ServiceTime time.Duration `json:"serviceTime,omitempty"`
	// At is when the answer came, by the clock of the node that received it.
	At time.Time `json:"-"`
}

func (l Load) occupancy() float64 { return float64(l.InUse+l.Queued) / float64(max(1, l.Slots)) }

// typical is the occupancy that this node usually sees at the targets of one service.
type typical struct{ bits atomic.Uint64 }

func (t *typical) value() float64 { return math.Float64frombits(t.bits.Load()) }

func (t *typical) add(occupancy float64) {
	for {
		held := t.bits.Load()
		old := math.Float64frombits(held)
		next := math.Float64bits(old + (occupancy-old)*typicalShare)
		if t.bits.CompareAndSwap(held, next) {
			return
		}
	}
}

// Hint is what the platform's health endpoint says of a target.
type Hint int32

// The hints.
const (
	HintNone Hint = iota
	HintHealthy
	HintUnhealthy
)

// Target is one target instance as this node has seen it; it outlives the Sets it is in.
//
// All methods may be called by many goroutines at once.
type Target struct {
	id       string
	inFlight atomic.Int64
	load     atomic.Pointer[Load]
	hint     atomic.Int32
	outlier  outlier
	// typical is shared by the targets of one Chooser.
	typical *typical
}

// ID names the instance.
func (t *Target) ID() string { return t.id }

// InFlight is how many requests this node has at the target.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Begin counts a request sent to the target; Chooser.End takes it back.
func (t *Target) Begin() { t.inFlight.Add(1) }

// Report takes in the load that an answer carried, unless a newer one is held.
func (t *Target) Report(load Load) {
	for {
		held := t.load.Load()
		if held != nil && held.At.After(load.At) {
			return
		}
		if t.load.CompareAndSwap(held, &load) {
			t.typical.add(load.occupancy())
			return
		}
	}
}

// SetHint takes in what the health endpoint said.
func (t *Target) SetHint(hint Hint) { t.hint.Store(int32(hint)) }

// occupancy is how full the target is thought to be: 1 is all of its effective slots.
//
// What an answer said loses its weight with its age, and what takes its place
// is the typical occupancy. Were it to fade to nothing instead, the target
// heard of least would look emptiest: every node would send there at once, and
// with thin traffic that is worse than a random choice.
func (c *candidate) occupancy(now time.Time) float64 {
	own := float64(c.target.inFlight.Load()) / float64(max(1, c.member.Slots))
	usual := c.target.typical.value()
	load := c.target.load.Load()
	if load == nil {
		return max(own, usual)
	}
	service := load.ServiceTime
	if service <= 0 {
		service = usualService
	}
	weight := math.Exp(-float64(max(0, now.Sub(load.At))) / float64(trustedServices*service))
	return max(own, usual+(load.occupancy()-usual)*weight)
}

// ramp is the share of its usual work that a target should get: a cold one
// starts at one slot and grows over its cold start. Its load alone would not
// show that it is slow, since it is the emptiest of all when it comes.
func (c *candidate) ramp(now time.Time) float64 {
	age := now.Sub(c.member.ColdSince)
	if c.member.State != Cold || age >= c.member.ColdStart {
		return 1
	}
	oneSlot := 1 / float64(max(1, c.member.Slots))
	return max(oneSlot, float64(max(0, age))/float64(c.member.ColdStart))
}
