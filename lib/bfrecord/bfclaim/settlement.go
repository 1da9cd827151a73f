package bfclaim

import (
	"time"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

// Settlement is the state machine that writes the final state of a claim: its
// outcome or its release. A Batcher batches the commits of several into one transaction.
type Settlement struct {
	key      string
	final    Row
	deadline time.Time
	wait     time.Duration
	done     *Done
}

const (
	// minBackoff doubles up to maxBackoff while the table is unavailable.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Record returns a Settlement that writes the outcome of a request that ran; object
// is the name of its body in the object store, or empty if the row holds the body.
func Record(spec Spec, answer bfrecord.Answer, object string) *Settlement {
	message := bfrecord.NewAnswerMessage(answer)
	if object != "" {
		message.Body = nil
	}
	return newSettlement(spec, Row{State: StateDone, Answer: &message, Object: object})
}

// Release returns a Settlement that frees the key of a request that was not
// forwarded to its target.
//
// The row is not removed: a claim's write with an unknown outcome may still take
// effect, and without a row it would claim the key for a request that has ended.
// A released row has a revision that no such write expects.
func Release(spec Spec) *Settlement {
	return newSettlement(spec, Row{State: StateReleased})
}

func newSettlement(spec Spec, final Row) *Settlement {
	final.Content, final.Home, final.ID = spec.Content, spec.Home, spec.ID
	final.Expires = spec.Deadline.Add(spec.Retention).UnixMilli()
	return &Settlement{
		key: spec.Key.String(), final: final, wait: minBackoff,
		deadline: spec.Deadline.Add(spec.Retention),
	}
}

// Next takes the result of the last action and returns the next action; after Done it returns Done again.
func (s *Settlement) Next(now time.Time, event Event) Action {
	if s.done != nil {
		return *s.done
	}
	if !now.Before(s.deadline) {
		return s.end(false)
	}
	switch e := event.(type) {
	case Start, Elapsed:
		return Read{key: s.key}
	case RowRead:
		if e.Err != nil {
			return s.backOff()
		}
		return s.decide(e.Row)
	case CommitEnded:
		return s.committed(e.Err)
	case HomeAnswered, HomeUnreachable:
	}
	return s.backOff()
}

func (s *Settlement) decide(row bfstore.Row) Action {
	if row.Revision == 0 {
		if s.final.State != StateReleased {
			// The running row was removed manually, so there is no claim to settle.
			return s.end(false)
		}
		return s.write(0)
	}
	held, err := DecodeRow(row)
	if err != nil || held.ID != s.final.ID || held.Home != s.final.Home {
		return s.end(false)
	}
	if held.State != StateRunning {
		return s.end(held.State == s.final.State)
	}
	return s.write(row.Revision)
}

func (s *Settlement) write(revision uint64) Action {
	tx, err := s.final.replace(s.key, revision)
	if err != nil {
		return s.end(false)
	}
	return Commit{key: s.key, tx: tx}
}

func (s *Settlement) committed(err error) Action {
	status, row, _ := classify(err)
	switch status {
	case commitApplied:
		return s.end(true)
	case commitConflicted:
		return s.decide(row)
	case commitUnknown:
		return Read{key: s.key}
	case commitNotApplied:
	}
	return s.backOff()
}

func (s *Settlement) backOff() Action {
	wait := s.wait
	s.wait = min(2*s.wait, maxBackoff)
	return Wait{wait: wait}
}

func (s *Settlement) end(written bool) Action {
	s.done = &Done{result: Settled{written: written}}
	return *s.done
}
