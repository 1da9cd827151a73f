package bfrecord

import "time"

// scopeKey is a source of IDs with one growing counter.
type scopeKey struct {
	entry  Home
	minted bool
}

type scope struct {
	key     scopeKey
	records int
	// watermark is the highest counter of a dropped record; nothing at or under it can be vouched for.
	watermark uint64
	queued    bool
}

// scopeSet holds the watermarks of a book.
//
// Watermarks are kept by scope, so an entry whose clock is ahead spoils only
// its own IDs. Scopes come and go with every restart in the fleet, so an idle
// one is folded into floor, which stands for all scopes not known: counters
// follow the clock, so what floor refuses is older than the retention. If an
// entry's clock is wrong the book refuses too much, and never runs anything twice.
type scopeSet struct {
	limit int
	known map[scopeKey]*scope
	idle  queue[*scope]
	floor uint64
}

func newScopeSet(limit int) scopeSet {
	return scopeSet{limit: limit, known: map[scopeKey]*scope{}}
}

// dropped reports whether a record of id may have existed that is gone.
func (s *scopeSet) dropped(id ID) bool {
	if known, found := s.known[id.scope()]; found {
		return id.Counter <= known.watermark
	}
	return id.Counter <= s.floor
}

// hold finds or makes the scope of a new record; it returns nil if there is no room.
func (s *scopeSet) hold(key scopeKey) *scope {
	known, found := s.known[key]
	if !found {
		if len(s.known) >= s.limit {
			return nil
		}
		known = &scope{key: key, watermark: s.floor}
		s.known[key] = known
	}
	known.records++
	return known
}

// release notes that a record of the scope is dropped.
func (s *scopeSet) release(of *scope, counter uint64) {
	of.watermark = max(of.watermark, counter)
	of.records--
	if of.records == 0 && !of.queued {
		of.queued = true
		s.idle.push(of)
	}
}

// collect folds idle scopes whose watermark is before horizon into floor.
//
// One whose watermark is later stays: folding it would refuse other entries' fresh requests.
func (s *scopeSet) collect(horizon time.Time) {
	const perCall = 4
	limit := uint64(max(horizon.UnixMicro(), 0))
	for range min(perCall, s.idle.len()) {
		of := s.idle.pop()
		switch {
		case of.records > 0:
			// In use again: release queues it anew.
			of.queued = false
		case of.watermark > limit:
			s.idle.push(of)
		default:
			s.floor = max(s.floor, of.watermark)
			delete(s.known, of.key)
		}
	}
}
