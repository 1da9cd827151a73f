package bfrecord

import "time"

// scopeKey identifies a source of IDs with one increasing counter.
type scopeKey struct {
	entry  NodeIncarnation
	minted bool
}

type scope struct {
	key     scopeKey
	records int
	// watermark is the highest counter of a dropped record; IDs at or below it may have had a record.
	watermark uint64
	queued    bool
}

// scopeSet holds the watermarks of a Tracker.
//
// Watermarks are kept per scope, so an entry whose clock is ahead affects only
// its own IDs. Every restart in the fleet creates scopes, so an idle scope is
// folded into floor, the common watermark of all untracked scopes: counters follow
// the clock, so IDs at or below floor are older than the retention. A wrong clock
// can cause needless refusals, but never a second run.
type scopeSet struct {
	limit int
	byKey map[scopeKey]*scope
	idle  queue[*scope]
	floor uint64
}

func newScopeSet(limit int) scopeSet {
	return scopeSet{limit: limit, byKey: map[scopeKey]*scope{}}
}

// mayHaveDropped reports whether id may have had a record that was dropped.
func (s *scopeSet) mayHaveDropped(id ID) bool {
	if known, found := s.byKey[id.scope()]; found {
		return id.Counter <= known.watermark
	}
	return id.Counter <= s.floor
}

// acquire returns the scope for a new record, or nil if it is new and the limit is reached.
func (s *scopeSet) acquire(key scopeKey) *scope {
	known, found := s.byKey[key]
	if !found {
		if len(s.byKey) >= s.limit {
			return nil
		}
		known = &scope{key: key, watermark: s.floor}
		s.byKey[key] = known
	}
	known.records++
	return known
}

// release updates a scope after dropping the record with counter.
func (s *scopeSet) release(released *scope, counter uint64) {
	released.watermark = max(released.watermark, counter)
	released.records--
	if released.records == 0 && !released.queued {
		released.queued = true
		s.idle.push(released)
	}
}

// foldIdle folds idle scopes whose watermark is at or before horizon into floor.
//
// Scopes with a later watermark stay: folding them would refuse recent requests of other entries.
func (s *scopeSet) foldIdle(horizon time.Time) {
	const perCall = 4
	limit := uint64(max(horizon.UnixMicro(), 0))
	for range min(perCall, s.idle.len()) {
		candidate := s.idle.pop()
		switch {
		case candidate.records > 0:
			// In use again: release queues it anew.
			candidate.queued = false
		case candidate.watermark > limit:
			s.idle.push(candidate)
		default:
			s.floor = max(s.floor, candidate.watermark)
			delete(s.byKey, candidate.key)
		}
	}
}
