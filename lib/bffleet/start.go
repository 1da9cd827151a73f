package bffleet

import (
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bflimit"
)

// startKey identifies one start of a target.
type startKey struct {
	incarnation  string
	startedMilli int64
}

// startState is what a node knows of one start of a target. It outlives the member's row, which the
// target's node removes and writes again.
type startState struct {
	// limit is the limit that the target has named, nil for none.
	limit atomic.Pointer[bflimit.Statement]
	// leaving is set once an answer has said that the target leaves. Its node may forget that in a
	// restart, and write its row again.
	leaving atomic.Bool
}

func (m Member) startKey() startKey { return startKey{m.Incarnation, m.StartedMilli} }

// maxFormerStarts bounds the starts that are remembered beside those of the members.
const maxFormerStarts = 1024

// startOf returns the state of a member's start. f.mu must be held.
func (f *Fleet) startOf(m Member) *startState {
	if m.Incarnation == "" {
		return &startState{}
	}
	held, found := f.starts[m.startKey()]
	if !found {
		held = &startState{}
		f.starts[m.startKey()] = held
	}
	return held
}

// forgetStarts drops the starts of former members if there are many. f.mu must be held.
func (f *Fleet) forgetStarts(members map[string]*Target) {
	if len(f.starts) <= len(members)+maxFormerStarts {
		return
	}
	kept := make(map[startKey]*startState, len(members))
	for _, t := range members {
		if t.member.Incarnation != "" {
			kept[t.member.startKey()] = t.start
		}
	}
	f.starts = kept
}

// ReportLimit records the limit of the target as reported by its node, nil for none.
func (t *Target) ReportLimit(limit bflimit.Statement) {
	switch {
	case limit != nil:
		t.start.limit.Store(&limit)
	case t.start.limit.Load() != nil:
		t.start.limit.Store(nil)
	}
}

// ReportLeaving records that a start of the target has said that it leaves; it has no effect if the
// member has another start. The target gets no more requests.
func (t *Target) ReportLeaving(incarnation string, started time.Time) {
	if t.member.Incarnation == incarnation && t.member.Started().Equal(started) {
		t.start.leaving.Store(true)
	}
}

// Limit returns the limit of the target as last reported, nil for none.
func (t *Target) Limit() bflimit.Statement {
	if limit := t.start.limit.Load(); limit != nil {
		return *limit
	}
	return nil
}
