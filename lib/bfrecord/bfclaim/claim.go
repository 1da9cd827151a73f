package bfclaim

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

// Spec describes the claim of a request.
type Spec struct {
	Key     Key
	Content bfrecord.Digest
	// Home is the claiming node; it has a running record of ID and an admission slot.
	Home bfrecord.NodeIncarnation
	ID   bfrecord.ID
	// Deadline is the time from which the request must not be started.
	Deadline time.Time
	// Retention is how long the outcome is kept after Deadline.
	Retention time.Duration
}

const (
	// maxSteps bounds the actions of one claim, since its caller waits for them.
	maxSteps = 6
	// DefaultRetryAfter is the retry delay reported to callers if the table gives none.
	DefaultRetryAfter = time.Second
)

// Claim is the state machine that claims a key for one request.
//
// It writes optimistically and reads only if the write was inconclusive. All its
// writes over one revision have the same content, so a write with an unknown
// outcome may be retried: whichever takes effect, the row holds this request.
type Claim struct {
	spec  Spec
	steps int
	// mayHaveWritten reports that a write took effect or may still take effect.
	mayHaveWritten bool
	// queriedRevision is the row revision whose home was queried; if a second read
	// finds it unchanged, the claim ends with fallback. holder is the row at that revision.
	queriedRevision uint64
	fallback        Result
	holder          Row
	done            *Done
}

// NewClaim returns a claim in its initial state; its first event is Start.
func NewClaim(spec Spec) *Claim { return &Claim{spec: spec} }

// Next takes the result of the last action and returns the next action; after Done it returns Done again.
func (c *Claim) Next(now time.Time, event Event) Action {
	if c.done != nil {
		return *c.done
	}
	c.steps++
	switch e := event.(type) {
	case Start, Elapsed:
		return c.write(now, 0)
	case CommitEnded:
		return c.committed(now, e.Err)
	case RowRead:
		if e.Err != nil {
			return c.refuse(retryAfter(e.Err))
		}
		return c.decide(now, e.Row)
	case HomeAnswered:
		return c.homeAnswered(now, e.Resolution)
	case HomeUnreachable:
		return c.end(InProgress{home: c.holder.Home, id: c.holder.ID})
	}
	return c.refuse(DefaultRetryAfter)
}

func retryAfter(err error) time.Duration {
	if _, _, wait := classify(err); wait > 0 {
		return wait
	}
	return DefaultRetryAfter
}

// write claims the row, conditional on its revision.
func (c *Claim) write(now time.Time, revision uint64) Action {
	if c.steps > maxSteps || !now.Before(c.spec.Deadline) {
		return c.refuse(DefaultRetryAfter)
	}
	row := Row{
		Content: c.spec.Content, Home: c.spec.Home, ID: c.spec.ID, State: StateRunning,
		Expires: c.spec.Deadline.Add(c.spec.Retention).UnixMilli(),
	}
	tx, err := row.replace(c.spec.Key.String(), revision)
	if err != nil {
		return c.refuse(DefaultRetryAfter)
	}
	return Commit{key: c.spec.Key.String(), tx: tx}
}

func (c *Claim) committed(now time.Time, err error) Action {
	status, row, wait := classify(err)
	switch status {
	case commitApplied:
		return c.granted(now)
	case commitConflicted:
		return c.decide(now, row)
	case commitUnknown:
		// Only the row shows whether the write took effect; proceeding without
		// reading it could run the request without a claim.
		c.mayHaveWritten = true
		return Read{key: c.spec.Key.String()}
	case commitNotApplied:
	}
	return c.refuse(max(wait, DefaultRetryAfter))
}

// granted ends with Granted, or releases the key if the holder was paused past its deadline.
func (c *Claim) granted(now time.Time) Action {
	c.mayHaveWritten = true
	if !now.Before(c.spec.Deadline) {
		return c.refuse(DefaultRetryAfter)
	}
	return c.end(Granted{})
}

// decide returns the next action for the current row.
func (c *Claim) decide(now time.Time, row bfstore.Row) Action {
	if row.Revision == 0 {
		return c.write(now, 0)
	}
	held, err := DecodeRow(row)
	if err != nil {
		return c.refuse(DefaultRetryAfter)
	}
	if held.ID == c.spec.ID && held.Home == c.spec.Home {
		return c.resumeOwn(now, held)
	}
	if held.claimable(now) {
		return c.write(now, row.Revision)
	}
	if held.Content != c.spec.Content {
		return c.end(ContentMismatch{})
	}
	if held.State == StateDone {
		return c.end(RecordedOutcome{id: held.ID, answer: held.Answer.Answer(), object: held.Object})
	}
	return c.queryHolder(held, row.Revision)
}

// resumeOwn handles a row written by this claim, after a lost response or a retried write.
func (c *Claim) resumeOwn(now time.Time, held Row) Action {
	if held.State == StateRunning {
		return c.granted(now)
	}
	// A Settlement has already written this ID's final state, so it must not run.
	return c.end(HomeGone{home: held.Home, id: held.ID})
}

func (c *Claim) queryHolder(held Row, revision uint64) Action {
	if c.fallback != nil && c.queriedRevision == revision {
		return c.end(c.fallback)
	}
	c.queriedRevision = revision
	c.holder = held
	return AskHome{request: bfrecord.ResolveRequest{ID: held.ID, Home: held.Home}}
}

// homeAnswered returns the next action for the resolution by the row's home.
func (c *Claim) homeAnswered(now time.Time, resolution bfrecord.Resolution) Action {
	switch r := resolution.(type) {
	case bfrecord.NeverSeen:
		// The home has barred that request, so it can't run even if its write
		// took effect late or its holder resumes. The revision condition lets
		// only one of several concurrent claims take the row over.
		return c.write(now, c.queriedRevision)
	case bfrecord.Running:
		return c.end(InProgress{home: c.holder.Home, id: c.holder.ID})
	case bfrecord.Finished:
		return c.end(RecordedOutcome{id: c.holder.ID, answer: r.Answer()})
	case bfrecord.Forgotten, bfrecord.HomeLost:
		// The home may have recorded the outcome since the row was read, so read it again.
		c.fallback = HomeGone{home: c.holder.Home, id: c.holder.ID}
		return Read{key: c.spec.Key.String()}
	}
	return c.end(InProgress{home: c.holder.Home, id: c.holder.ID})
}

func (c *Claim) refuse(wait time.Duration) Action {
	return c.end(Refused{retryAfter: wait, release: c.mayHaveWritten})
}

func (c *Claim) end(result Result) Action {
	c.done = &Done{result: result}
	return *c.done
}

// String formats the claim for logs.
func (c *Claim) String() string {
	return fmt.Sprintf("claim of %s by %s", c.spec.Key, c.spec.ID)
}
