package bfrunlog

import (
	"sync"
	"time"
)

// FaultPeriod is a period with a fault of a node or its target.
type FaultPeriod struct {
	From, To time.Time
	// Planned marks maintenance, which must not fail a request that has run.
	Planned bool
}

// FaultPeriods are the periods with faults of one node. They are safe for concurrent use.
type FaultPeriods struct {
	mu  sync.Mutex
	all []FaultPeriod
}

// Add records a period.
func (p *FaultPeriods) Add(period FaultPeriod) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, period)
}

// Any reports whether there was any fault between two times.
func (p *FaultPeriods) Any(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, period := range p.all {
		if from.Before(period.To) && to.After(period.From) {
			return true
		}
	}
	return false
}

// SettleTime is how long the effects of a fault may last after it ends.
const SettleTime = 4 * time.Second

// Had reports whether there was a planned or unplanned fault between two times, or less than SettleTime
// before.
func (p *FaultPeriods) Had(from, to time.Time, planned bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, period := range p.all {
		if period.Planned == planned && from.Before(period.To.Add(SettleTime)) && to.After(period.From) {
			return true
		}
	}
	return false
}

// During injects a fault and records its period.
func (p *FaultPeriods) During(planned bool, fault func()) {
	began := time.Now()
	fault()
	p.Add(FaultPeriod{From: began, To: time.Now(), Planned: planned})
}
