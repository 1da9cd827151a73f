package bfclaim

import (
	"time"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

// Settlement is the step machine that writes the end of a claim: its outcome or
// its release. Many may share a table call, through a Group.
type Settlement struct {
	key      string
	final    Row
	deadline time.Time
	wait     time.Duration
	done     *Done
}

const (
	// firstWait doubles up to maxWait while the table is away.
	firstWait = 200 * time.Millisecond
	maxWait   = 10 * time.Second
)

// Record writes the outcome of a request that ran; object names its body in the object store, if it is there.
func Record(spec Spec, answer bfrecord.Answer, object string) *Settlement {
	message := bfrecord.NewAnswerMessage(answer)
	if object != "" {
		message.Body = nil
	}
	return newSettlement(spec, Row{State: StateDone, Answer: &message, Object: object})
}

// Release gives back the key of a request that was certainly not handed to its target.
//
// The row is not removed: a write of the claim whose answer was lost may land
// later, and would find the key free once more and claim it for a request that
// is over. A released row has another revision than any such write expects.
func Release(spec Spec) *Settlement {
	return newSettlement(spec, Row{State: StateReleased})
}

func newSettlement(spec Spec, final Row) *Settlement {
	final.Content, final.Home, final.ID = spec.Content, spec.Home, spec.ID
	final.Expires = spec.Deadline.Add(spec.Retention).UnixMilli()
	return &Settlement{
		key: spec.Key.String(), final: final, wait: firstWait,
		deadline: spec.Deadline.Add(spec.Retention),
	}
}

// Next takes the end of the last action and returns the next one; once Done, it stays so.
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
	case HomeAnswered, HomeSilent:
	}
	return s.backOff()
}

func (s *Settlement) decide(row bfstore.Row) Action {
	if row.Revision == 0 {
		if s.final.State != StateReleased {
			// Someone removed a running row by hand; nothing of this claim is left to settle.
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
	end, row, _ := classify(err)
	switch end {
	case commitApplied:
		return s.end(true)
	case commitConflicted:
		return s.decide(row)
	case commitUnknown:
		return Read{key: s.key}
	case commitWithoutEffect:
	}
	return s.backOff()
}

func (s *Settlement) backOff() Action {
	wait := s.wait
	s.wait = min(2*s.wait, maxWait)
	return Wait{wait: wait}
}

func (s *Settlement) end(written bool) Action {
	s.done = &Done{result: Settled{written: written}}
	return *s.done
}
