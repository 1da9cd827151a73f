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

// Settling reports whether there was a planned or unplanned fault between two times, or less than
// settle before.
func (p *FaultPeriods) Settling(from, to time.Time, planned bool, settle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, period := range p.all {
		if period.Planned == planned && from.Before(period.To.Add(settle)) && to.After(period.From) {
			return true
		}
	}
	return false
}
