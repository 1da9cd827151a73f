package bftransfer

import "time"

// Terms bound how slow a transfer may be while others wait. The zero value bounds nothing.
type Terms struct {
	// BodyRate is the rate at which a body must arrive, in bytes per second, and BodyPause how long it may pause.
	BodyRate  int
	BodyPause time.Duration
	// AnswerPause is how long the client may take for one piece of its answer.
	AnswerPause time.Duration
}

// pace is the pace of a body. It is late from due on.
type pace struct{ due time.Time }

func newPace(now time.Time, terms Terms) pace { return pace{due: now.Add(terms.BodyPause)} }

// arrived moves due by the time that the bytes may take. A body that was fast before may still pause no longer
// than BodyPause.
func (p pace) arrived(bytes int, now time.Time, terms Terms) pace {
	if terms.BodyRate <= 0 {
		return pace{due: now.Add(terms.BodyPause)}
	}
	earned := time.Duration(float64(bytes) / float64(terms.BodyRate) * float64(time.Second))
	due := p.due.Add(earned)
	if limit := now.Add(terms.BodyPause); due.After(limit) {
		due = limit
	}
	return pace{due: due}
}
