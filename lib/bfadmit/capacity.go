package bfadmit

import "time"

const (
	// wholeSlot is one slot in the unit of capacity.limit.
	wholeSlot = 1000
	// A shed request cuts the limit to nine tenths of the slots in use.
	cutNumerator, cutDenominator = 9, 10
	// recoverRounds is how many times the limit must be served to raise it by one slot.
	recoverRounds = 8
)

// capacity computes how many of a target's slots may be used.
type capacity struct {
	slots     int
	coldSince time.Time
	coldStart time.Duration
	// limit is the adaptive bound below slots, in thousandths of a slot.
	//
	// A target that sheds has less capacity than it announced, and sheds each request
	// above that. The limit falls at once and rises with the requests that are then
	// served. It never falls below one slot, so that a target that sheds everything
	// still gets one request at a time.
	limit   int
	lastCut time.Time
	// fixed keeps the limit at slots. Tests compare against it.
	fixed bool
}

func newCapacity(slots int, coldSince time.Time, coldStart time.Duration) capacity {
	return capacity{slots: slots, coldSince: coldSince, coldStart: coldStart, limit: slots * wholeSlot}
}

func (c *capacity) effective(now time.Time) int {
	if c.slots <= 0 {
		return 0
	}
	return max(1, min(c.ramp(now), c.limit/wholeSlot))
}

// ramp returns the slots allowed by the cold start, which grow linearly from one to all.
func (c *capacity) ramp(now time.Time) int {
	age := now.Sub(c.coldSince)
	if age >= c.coldStart {
		return c.slots
	}
	return max(1, int(int64(c.slots)*int64(max(0, age))/int64(c.coldStart)))
}

// nextRamp returns when ramp grows by a slot; false if the cold start is over.
func (c *capacity) nextRamp(now time.Time) (time.Time, bool) {
	if now.Sub(c.coldSince) >= c.coldStart || c.slots <= 0 {
		return time.Time{}, false
	}
	next, slots := int64(c.ramp(now))+1, int64(c.slots)
	// Rounded up, since a wake before the slot is allowed would be repeated at once.
	return c.coldSince.Add(time.Duration((next*int64(c.coldStart) + slots - 1) / slots)), true
}

// served counts a served request, recoverRounds times the limit of which raise it by a slot.
func (c *capacity) served() {
	if gain := wholeSlot * wholeSlot / recoverRounds / max(c.limit, wholeSlot); c.limit < c.slots*wholeSlot {
		c.limit = min(c.slots*wholeSlot, c.limit+max(1, gain))
	}
}

// shed lowers the limit, at most once per service time. Requests shed together would
// otherwise cut it to one slot.
func (c *capacity) shed(now time.Time, inUse int, service time.Duration) {
	if c.fixed || !c.lastCut.IsZero() && now.Sub(c.lastCut) < service {
		return
	}
	c.lastCut = now
	c.limit = max(wholeSlot, min(c.limit, inUse*wholeSlot)*cutNumerator/cutDenominator)
}

func (c *capacity) resize(slots int) {
	c.limit = slots * wholeSlot
	c.slots = slots
}

// meter is a moving average of durations.
type meter struct{ mean time.Duration }

// meterWindow is the number of samples over which the average is taken.
const meterWindow = 8

func (m *meter) add(sample time.Duration) {
	if m.mean == 0 {
		m.mean = max(1, sample)
		return
	}
	m.mean = max(1, m.mean+(sample-m.mean)/meterWindow)
}
