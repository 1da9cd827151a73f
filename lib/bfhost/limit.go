package bfhost

import (
	"net/http"
	"sync"
	"time"

	"bilberryflow.org/lib/bflimit"
)

// LimitChange is a change of what the target says about its limit, for logs.
type LimitChange struct {
	// Incarnation is that of the target.
	Incarnation string
	// Limit is the new limit, nil if the answer's could not be read.
	Limit bflimit.Statement
	// Err is why it could not be read.
	Err error
}

// targetLimit is the limit that the running start of the target has named.
type targetLimit struct {
	mu sync.Mutex
	// incarnation and started identify the start.
	incarnation string
	started     time.Time
	// limit is the latest statement, nil before the first answer of the start.
	limit bflimit.Statement
	// namedAt is when the latest answer with a limit arrived.
	namedAt time.Time
}

// observe applies an answer's statement; changed reports whether the limit differs now.
//
// Answers can overtake each other. One without a limit ends the limit only if its request was sent
// after the limit was named.
func (l *targetLimit) observe(target *Target, said bflimit.Statement, sent, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation != target.Incarnation() || !l.started.Equal(target.Started()) {
		l.incarnation, l.started = target.Incarnation(), target.Started()
		l.limit, l.namedAt = bflimit.Unlimited{}, time.Time{}
	}
	if _, named := said.(bflimit.PerSecond); named {
		l.namedAt = now
	} else if sent.Before(l.namedAt) {
		return false
	}
	changed = l.limit != said
	l.limit = said
	return changed
}

// observeLimit applies what the header of the target's answer says about its limit.
func (h *Host) observeLimit(target *Target, header http.Header, sent time.Time) {
	if h.config.Names.Limit == "" {
		return
	}
	said, err := bflimit.Parse(header[h.config.Names.Limit])
	if err != nil {
		h.config.LimitChanged(LimitChange{Incarnation: target.Incarnation(), Err: err})
		return
	}
	if h.limit.observe(target, said, sent, h.config.Timer.Now()) {
		h.config.LimitChanged(LimitChange{Incarnation: target.Incarnation(), Limit: said})
	}
}
