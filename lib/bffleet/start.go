package bffleet

import (
	"sync/atomic"

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
	limit atomic.Pointer[bflimit.Known]
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

func (t *Target) isStart(of bflimit.Start) bool {
	return of.Incarnation != "" && of.Equal(bflimit.Start{Incarnation: t.member.Incarnation, Started: t.member.Started()})
}

// ReportLimit records the limit of the target as reported by its node. The limit of another start than
// the member's has no effect.
func (t *Target) ReportLimit(known bflimit.Known) {
	switch {
	case known.Limit != nil && !t.isStart(known.Start):
	case known.Limit != nil:
		t.start.limit.Store(&known)
	case t.start.limit.Load() != nil:
		t.start.limit.Store(nil)
	}
}

// ReportLeaving records that a start of the target has said that it leaves; it has no effect if the
// member has another start. The target gets no more requests.
func (t *Target) ReportLeaving(leaving bflimit.Start) {
	if t.isStart(leaving) {
		t.start.leaving.Store(true)
	}
}

// Limit returns the limit of the target as last reported.
func (t *Target) Limit() bflimit.Known {
	if known := t.start.limit.Load(); known != nil {
		return *known
	}
	return bflimit.Known{}
}
