package bfclaim

import (
	"errors"
	"time"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

// Event is an input of a state machine. It is a sealed interface: Start, RowRead,
// CommitEnded, HomeAnswered, HomeUnreachable or Elapsed.
type Event interface{ event() }

// Start is the first event of each state machine.
type Start struct{}

// RowRead is the result of a Read.
type RowRead struct {
	Row bfstore.Row
	Err error
}

// CommitEnded is the result of a Commit; Err is the table's error or nil.
type CommitEnded struct{ Err error }

// HomeAnswered is the home's response to AskHome.
type HomeAnswered struct{ Resolution bfrecord.Resolution }

// HomeUnreachable reports that the home of an AskHome is unreachable.
type HomeUnreachable struct{}

// Elapsed reports that the duration of a Wait has passed.
type Elapsed struct{}

func (Start) event()           {}
func (RowRead) event()         {}
func (CommitEnded) event()     {}
func (HomeAnswered) event()    {}
func (HomeUnreachable) event() {}
func (Elapsed) event()         {}

// Action is an output of a state machine. It is a sealed interface: Read, Commit,
// AskHome, Wait or Done.
type Action interface{ action() }

// Read requests a row of the table.
type Read struct{ key string }

// Key returns the row's key.
func (r Read) Key() string { return r.key }

// Commit requests a transaction on one row.
type Commit struct {
	key string
	tx  bfstore.Transaction
}

// Key returns the row's key.
func (c Commit) Key() string { return c.key }

// Transaction returns the transaction to commit.
func (c Commit) Transaction() bfstore.Transaction { return c.tx }

// AskHome requests the resolution of a request by its home.
type AskHome struct{ request bfrecord.ResolveRequest }

// Request returns the request to send to the home.
func (a AskHome) Request() bfrecord.ResolveRequest { return a.request }

// Wait requests an Elapsed event after a duration.
type Wait struct{ wait time.Duration }

// Duration returns how long to wait.
func (w Wait) Duration() time.Duration { return w.wait }

// Done is the final action of a state machine.
type Done struct{ result Result }

// Result returns the final result.
func (d Done) Result() Result { return d.result }

func (Read) action()    {}
func (Commit) action()  {}
func (AskHome) action() {}
func (Wait) action()    {}
func (Done) action()    {}

// Result is the final result of a state machine. It is a sealed interface: Granted,
// RecordedOutcome, InProgress, ContentMismatch, Refused or HomeGone for a Claim,
// and Settled for a Settlement.
type Result interface{ result() }

// Granted means that this request holds the key and may be forwarded to the target.
type Granted struct{}

// RecordedOutcome is the outcome of the key's only run.
type RecordedOutcome struct {
	id     bfrecord.ID
	answer bfrecord.Answer
	object string
}

// ID returns the request that ran.
func (r RecordedOutcome) ID() bfrecord.ID { return r.id }

// Answer returns the outcome.
func (r RecordedOutcome) Answer() bfrecord.Answer { return r.answer }

// Object returns the object store name of the answer's body, or "" if the answer holds its body.
func (r RecordedOutcome) Object() string { return r.object }

// InProgress means that another request with the key may be running at its home.
type InProgress struct {
	home bfrecord.NodeIncarnation
	id   bfrecord.ID
}

// Home returns the incarnation that may be running it.
func (p InProgress) Home() bfrecord.NodeIncarnation { return p.home }

// ID returns the request that may be running.
func (p InProgress) ID() bfrecord.ID { return p.id }

// ContentMismatch means that the key was claimed for other content.
type ContentMismatch struct{}

// Refused means that this request must not run, since its claim could not be established.
type Refused struct {
	retryAfter time.Duration
	release    bool
}

// RetryAfter returns the suggested delay before a retry.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// NeedsRelease reports whether a write of the claim took effect or may still take
// effect, so that the caller must run the Settlement that Release returns.
func (r Refused) NeedsRelease() bool { return r.release }

// HomeGone means that the key's home no longer has a record of whether its request ran; it is not run again.
type HomeGone struct {
	home bfrecord.NodeIncarnation
	id   bfrecord.ID
}

// Home returns the incarnation that claimed the key.
func (h HomeGone) Home() bfrecord.NodeIncarnation { return h.home }

// ID returns the request that may have run.
func (h HomeGone) ID() bfrecord.ID { return h.id }

// Settled is the final result of a Settlement.
type Settled struct{ written bool }

// Written reports whether the table holds the settlement's final state.
func (s Settled) Written() bool { return s.written }

func (Granted) result()         {}
func (RecordedOutcome) result() {}
func (InProgress) result()      {}
func (ContentMismatch) result() {}
func (Refused) result()         {}
func (HomeGone) result()        {}
func (Settled) result()         {}

// commitStatus is the effect of a commit on the row.
type commitStatus uint8

const (
	commitApplied commitStatus = iota
	commitConflicted
	commitNotApplied
	commitUnknown
)

// classify returns the effect of a commit that ended with err, the conflicting row
// if there is one, and the table's suggested retry delay. An unrecognized error is
// classified as commitUnknown, since the write may still take effect.
func classify(err error) (status commitStatus, row bfstore.Row, retryAfter time.Duration) {
	if err == nil {
		return commitApplied, bfstore.Row{}, 0
	}
	if conflict, ok := errors.AsType[*bfstore.ConflictError](err); ok {
		return commitConflicted, conflict.Row, 0
	}
	if unavailable, ok := errors.AsType[*bfstore.UnavailableError](err); ok {
		return commitNotApplied, bfstore.Row{}, unavailable.RetryAfter
	}
	return commitUnknown, bfstore.Row{}, 0
}
