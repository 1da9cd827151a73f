package bfadmit

import "time"

const (
	// wholeSlot is one slot in the unit of capacity.limit.
	wholeSlot = 1000
	// A shed request cuts the limit to nine tenths of the slots in use then.
	cutNumerator, cutDenominator = 9, 10
	// recoverRounds is how many times the limit must be served to win one slot back.
	recoverRounds = 8
)

// capacity is how many of a target's slots may be used now.
type capacity struct {
	slots     int
	coldSince time.Time
	coldStart time.Duration
	// limit is the adaptive bound below slots, in thousandths of a slot.
	//
	// A target that sheds has less room than it announced; to go on filling its
	// slots turns every request above its true room into an error. The limit
	// falls at once and recovers by what the target then serves, never below one
	// slot, so a target that sheds everything is tried by one request at a time.
	limit   int
	lastCut time.Time
	// fixed keeps the limit at slots; it exists to measure against.
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

// ramp grows evenly from one slot to all over the cold start.
func (c *capacity) ramp(now time.Time) int {
	age := now.Sub(c.coldSince)
	if age >= c.coldStart {
		return c.slots
	}
	return max(1, int(int64(c.slots)*int64(max(0, age))/int64(c.coldStart)))
}

// nextRamp is when ramp gives another slot; false when it has given all.
func (c *capacity) nextRamp(now time.Time) (time.Time, bool) {
	if now.Sub(c.coldSince) >= c.coldStart || c.slots <= 0 {
		return time.Time{}, false
	}
	next, slots := int64(c.ramp(now))+1, int64(c.slots)
	// Rounded up: a moment too early would find no slot and ask again at once.
	return c.coldSince.Add(time.Duration((next*int64(c.coldStart) + slots - 1) / slots)), true
}

// served wins one slot back after recoverRounds times the limit.
func (c *capacity) served() {
	if gain := wholeSlot * wholeSlot / recoverRounds / max(c.limit, wholeSlot); c.limit < c.slots*wholeSlot {
		c.limit = min(c.slots*wholeSlot, c.limit+max(1, gain))
	}
}

// shed lowers the limit; all that were in flight together count as one, or a
// single moment of overload would cut it to nothing.
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

// meterShare is what one sample moves the average by: an eighth.
const meterShare = 8

func (m *meter) add(sample time.Duration) {
	if m.mean == 0 {
		m.mean = max(1, sample)
		return
	}
	m.mean = max(1, m.mean+(sample-m.mean)/meterShare)
}
