package bfclaim

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

// Spec is what a request wants to claim.
type Spec struct {
	Key     Key
	Content bfrecord.Digest
	// Home is the claiming node; it holds a running record of ID and an admission slot.
	Home bfrecord.Home
	ID   bfrecord.ID
	// Deadline is after when a grant is of no use.
	Deadline time.Time
	// Retention is how long the outcome is kept.
	Retention time.Duration
}

const (
	// maxRounds bounds the transactions and reads of one claim: a caller waits for them.
	maxRounds = 6
	// DefaultRetryAfter is told to callers where the table gives no time.
	DefaultRetryAfter = time.Second
)

// Claim is the step machine that claims a key for one request.
//
// It writes first and reads only where that was not the end of it. All its
// writes of one row version have the same content, so it may repeat one whose
// answer was lost: whichever lands, the row names this request.
type Claim struct {
	spec   Spec
	rounds int
	// outstanding says that a write may yet take effect after the claim ended.
	outstanding bool
	// asked is the revision whose home has been asked, and final is what to end with if the row still has it.
	asked uint64
	final Result
	other Row
	done  *Done
}

// NewClaim begins a claim.
func NewClaim(spec Spec) *Claim { return &Claim{spec: spec} }

// Next takes the end of the last action and returns the next one; once Done, it stays so.
func (c *Claim) Next(now time.Time, event Event) Action {
	if c.done != nil {
		return *c.done
	}
	c.rounds++
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
	case HomeSilent:
		return c.end(InProgress{home: c.other.Home, id: c.other.ID})
	}
	return c.refuse(DefaultRetryAfter)
}

func retryAfter(err error) time.Duration {
	if _, _, wait := classify(err); wait > 0 {
		return wait
	}
	return DefaultRetryAfter
}

// write claims the row over the revision.
func (c *Claim) write(now time.Time, revision uint64) Action {
	if c.rounds > maxRounds || !now.Before(c.spec.Deadline) {
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
	end, row, wait := classify(err)
	switch end {
	case commitApplied:
		return c.granted(now)
	case commitConflicted:
		return c.decide(now, row)
	case commitUnknown:
		// Whether the write took effect, and when it still may, only the row
		// tells; to go on without it could run the request under no claim.
		c.outstanding = true
		return Read{key: c.spec.Key.String()}
	case commitWithoutEffect:
	}
	return c.refuse(max(wait, DefaultRetryAfter))
}

// granted: a holder that was paused past its deadline gives the key back instead of running late.
func (c *Claim) granted(now time.Time) Action {
	c.outstanding = true
	if !now.Before(c.spec.Deadline) {
		return c.refuse(DefaultRetryAfter)
	}
	return c.end(Granted{})
}

// decide says what the row as it is now means for this claim.
func (c *Claim) decide(now time.Time, row bfstore.Row) Action {
	if row.Revision == 0 {
		return c.write(now, 0)
	}
	held, err := DecodeRow(row)
	if err != nil {
		return c.refuse(DefaultRetryAfter)
	}
	if held.ID == c.spec.ID && held.Home == c.spec.Home {
		return c.own(now, held)
	}
	if held.free(now) {
		return c.write(now, row.Revision)
	}
	if held.Content != c.spec.Content {
		return c.end(ContentMismatch{})
	}
	if held.State == StateDone {
		return c.end(RecordedOutcome{id: held.ID, answer: held.Answer.Answer(), object: held.Object})
	}
	return c.running(held, row.Revision)
}

// own: the row is this claim's own write, whose answer was lost or crossed a repetition.
func (c *Claim) own(now time.Time, held Row) Action {
	if held.State == StateRunning {
		return c.granted(now)
	}
	// Another machine settled this ID already, so this one must not run it.
	return c.end(HomeGone{home: held.Home, id: held.ID})
}

func (c *Claim) running(held Row, revision uint64) Action {
	if c.final != nil && c.asked == revision {
		return c.end(c.final)
	}
	c.asked = revision
	c.other = held
	return AskHome{request: bfrecord.ResolveRequest{ID: held.ID, Home: held.Home}}
}

// homeAnswered acts on what the row's home says of its request.
func (c *Claim) homeAnswered(now time.Time, resolution bfrecord.Resolution) Action {
	switch r := resolution.(type) {
	case bfrecord.NeverSeen:
		// The home has barred that request, so its claim can't run any more,
		// even if its write landed late or its holder wakes. The revision keeps
		// two that heard the same from both taking over.
		return c.write(now, c.asked)
	case bfrecord.Running:
		return c.end(InProgress{home: c.other.Home, id: c.other.ID})
	case bfrecord.Finished:
		return c.end(RecordedOutcome{id: c.other.ID, answer: r.Answer()})
	case bfrecord.Forgotten, bfrecord.HomeLost:
		// The home may have recorded the outcome since the row was read.
		c.final = HomeGone{home: c.other.Home, id: c.other.ID}
		return Read{key: c.spec.Key.String()}
	}
	return c.end(InProgress{home: c.other.Home, id: c.other.ID})
}

func (c *Claim) refuse(wait time.Duration) Action {
	return c.end(Refused{retryAfter: wait, release: c.outstanding})
}

func (c *Claim) end(result Result) Action {
	c.done = &Done{result: result}
	return *c.done
}

// String names the claim in logs.
func (c *Claim) String() string {
	return fmt.Sprintf("claim of %s by %s", c.spec.Key, c.spec.ID)
}
