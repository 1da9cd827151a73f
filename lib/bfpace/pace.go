package bfpace

import "time"

// Terms are the pace of a sender.
type Terms struct {
	// Rate is in bytes per second, 0 if only pauses count.
	Rate int
	// Pause is how long the sender may pause.
	Pause time.Duration
}

// Pace is how far a sender is. The zero value is one that is late since long ago.
type Pace struct{ due time.Time }

// New returns the pace of a sender that starts now.
func New(now time.Time, terms Terms) Pace { return Pace{due: now.Add(terms.Pause)} }

// Arrived returns the pace after bytes have arrived.
func (p Pace) Arrived(bytes int, now time.Time, terms Terms) Pace {
	latest := now.Add(terms.Pause)
	if terms.Rate <= 0 {
		return Pace{due: latest}
	}
	due := p.due.Add(time.Duration(float64(bytes) / float64(terms.Rate) * float64(time.Second)))
	if due.After(latest) {
		due = latest
	}
	return Pace{due: due}
}

// Waited returns the pace after a time for which the sender had to wait.
func (p Pace) Waited(d time.Duration) Pace { return Pace{due: p.due.Add(d)} }

// Late returns how late the sender is, 0 or less if it is not.
func (p Pace) Late(now time.Time) time.Duration { return now.Sub(p.due) }
