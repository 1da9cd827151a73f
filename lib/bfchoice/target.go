package bfchoice

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// defaultServiceTime is used until a target has reported its service time.
	defaultServiceTime = 50 * time.Millisecond
	// reportLifetime is the time constant of a load report's weight, in service times.
	reportLifetime = 2
	// typicalWeight is the weight of one report in the moving average of occupancy.
	typicalWeight = 1.0 / 16
)

// Load is the load of a target, reported by its node with each response.
type Load struct {
	InUse  int `json:"inUse"`
	Queued int `json:"queued"`
	// Slots is the number of slots in use by the limiter, fewer than announced while cold or shedding.
	Slots int `json:"slots"`
	// ServiceTime is the mean run time of a request, 0 if unknown.
	ServiceTime time.Duration `json:"serviceTime,omitempty"`
	// At is the time of receipt by the clock of the receiving node.
	At time.Time `json:"-"`
}

func (l Load) occupancy() float64 { return float64(l.InUse+l.Queued) / float64(max(1, l.Slots)) }

// typical is the moving average of the occupancy of one service's targets.
type typical struct{ bits atomic.Uint64 }

func (t *typical) value() float64 { return math.Float64frombits(t.bits.Load()) }

func (t *typical) add(occupancy float64) {
	for {
		bits := t.bits.Load()
		old := math.Float64frombits(bits)
		next := math.Float64bits(old + (occupancy-old)*typicalWeight)
		if t.bits.CompareAndSwap(bits, next) {
			return
		}
	}
}

// Hint is the state of a target reported by the platform's health endpoint.
type Hint int32

// The hints.
const (
	HintNone Hint = iota
	HintHealthy
	HintUnhealthy
)

// Target holds a node's observations of one target instance; it outlives the Sets it is in.
//
// All methods are safe for concurrent use.
type Target struct {
	id       string
	inFlight atomic.Int64
	load     atomic.Pointer[Load]
	hint     atomic.Int32
	outlier  outlier
	// typical is shared by the targets of one Chooser.
	typical *typical
}

// ID returns the instance's name.
func (t *Target) ID() string { return t.id }

// InFlight returns the number of this node's requests at the target.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Begin counts a request sent to the target, until Chooser.End.
func (t *Target) Begin() { t.inFlight.Add(1) }

// Report stores the load reported with a response, unless a newer one is stored.
func (t *Target) Report(load Load) {
	for {
		stored := t.load.Load()
		if stored != nil && stored.At.After(load.At) {
			return
		}
		if t.load.CompareAndSwap(stored, &load) {
			t.typical.add(load.occupancy())
			return
		}
	}
}

// SetHint stores the state reported by the health endpoint.
func (t *Target) SetHint(hint Hint) { t.hint.Store(int32(hint)) }

// occupancy estimates the share of the target's effective slots in use: 1 is full.
//
// A load report decays towards the typical occupancy, not towards 0: otherwise the
// target with the oldest report would look the least occupied, and all nodes would
// send to it at once, which with few requests is worse than a random choice.
func (c *candidate) occupancy(now time.Time) float64 {
	own := float64(c.target.inFlight.Load()) / float64(max(1, c.member.Slots))
	typical := c.target.typical.value()
	load := c.target.load.Load()
	if load == nil {
		return max(own, typical)
	}
	service := load.ServiceTime
	if service <= 0 {
		service = defaultServiceTime
	}
	weight := math.Exp(-float64(max(0, now.Sub(load.At))) / float64(reportLifetime*service))
	return max(own, typical+(load.occupancy()-typical)*weight)
}

// slowStartShare is the share of its usual requests that a target should get: a cold one
// starts with one slot's share, growing over its slow start. Its low load would
// otherwise attract requests.
func (c *candidate) slowStartShare(now time.Time) float64 {
	age := now.Sub(c.member.ColdSince)
	if c.member.State != Cold || age >= c.member.ColdStart {
		return 1
	}
	oneSlot := 1 / float64(max(1, c.member.Slots))
	return max(oneSlot, float64(max(0, age))/float64(c.member.ColdStart))
}
