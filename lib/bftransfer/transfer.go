package bftransfer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfpace"
)

// Set holds the transfers of one target. It is safe for concurrent use.
type Set struct {
	terms Terms
	now   func() time.Time
	ended atomic.Int64

	mu   sync.Mutex
	open map[*Transfer]struct{}
}

// NewSet returns an empty set.
func NewSet(terms Terms, now func() time.Time) *Set {
	return &Set{terms: terms, now: now, open: map[*Transfer]struct{}{}}
}

// Ended returns the number of transfers that were ended since others waited.
func (s *Set) Ended() int64 { return s.ended.Load() }

// Transfer is one request that occupies the target; nil tracks nothing.
type Transfer struct {
	set  *Set
	done chan struct{}

	// The set guards what follows.
	pace bfpace.Pace
	// end ends the transfer, nil while the target or the node is to act.
	end func()
	// late is set once the transfer was ended.
	late bool
}

// Begin adds a request that occupies the target from now on, until Done.
func (s *Set) Begin() *Transfer {
	t := &Transfer{set: s, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[t] = struct{}{}
	return t
}

// Done removes the request, which no longer occupies the target. It must be called once.
func (t *Transfer) Done() {
	if t == nil {
		return
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	delete(t.set.open, t)
	close(t.done)
}

// AwaitBody marks that the client is to send the body of the request, until Rest. end ends the request.
func (t *Transfer) AwaitBody(end func()) {
	if t == nil {
		return
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	t.pace, t.end = bfpace.New(t.set.now(), t.set.terms.Body), end
}

// BodyArrived counts bytes of the body.
func (t *Transfer) BodyArrived(bytes int) {
	if t == nil {
		return
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	t.pace = t.pace.Arrived(bytes, t.set.now(), t.set.terms.Body)
}

// AwaitReader marks that the client is to read a piece of the answer, until Rest. end ends the answer.
func (t *Transfer) AwaitReader(end func()) {
	if t == nil {
		return
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	t.pace, t.end = bfpace.New(t.set.now(), bfpace.Terms{Pause: t.set.terms.AnswerPause}), end
}

// Rest marks that the client is not to act.
func (t *Transfer) Rest() {
	if t == nil {
		return
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	t.end = nil
}

// WasLate reports whether the transfer was ended since others waited.
func (t *Transfer) WasLate() bool {
	if t == nil {
		return false
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	return t.late
}

// EndLate ends up to count transfers whose client is too slow, the latest first, and waits until they no longer
// occupy the target, or ctx ends.
func (s *Set) EndLate(ctx context.Context, count int) {
	for _, t := range s.StartEnding(count) {
		select {
		case <-t.done:
		case <-ctx.Done():
			return
		}
	}
}

// StartEnding is EndLate without the wait; it returns what it has ended.
func (s *Set) StartEnding(count int) (taken []*Transfer) {
	var ends []func()
	s.mu.Lock()
	for len(taken) < count {
		t := s.latest()
		if t == nil {
			break
		}
		taken, ends = append(taken, t), append(ends, t.end)
		t.late, t.end = true, nil
	}
	s.mu.Unlock()
	s.ended.Add(int64(len(taken)))
	for _, end := range ends {
		end()
	}
	return taken
}

// latest returns the transfer that is late for the longest time, nil if none is. s.mu must be held.
func (s *Set) latest() (latest *Transfer) {
	if s.terms == (Terms{}) {
		return nil
	}
	now := s.now()
	for t := range s.open {
		if t.end == nil || t.late || t.pace.Late(now) < 0 {
			continue
		}
		if latest == nil || t.pace.Late(now) > latest.pace.Late(now) {
			latest = t
		}
	}
	return latest
}
