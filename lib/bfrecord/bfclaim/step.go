package bfclaim

import (
	"errors"
	"time"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

// Event is the sealed set of what a step machine is told: Start, RowRead,
// CommitEnded, HomeAnswered, HomeSilent and Elapsed.
type Event interface{ event() }

// Start is the first event.
type Start struct{}

// RowRead is the end of a Read.
type RowRead struct {
	Row bfstore.Row
	Err error
}

// CommitEnded is the end of a Commit; Err is what the table returned.
type CommitEnded struct{ Err error }

// HomeAnswered is a home's answer to AskHome.
type HomeAnswered struct{ Resolution bfrecord.Resolution }

// HomeSilent says that a home can't be reached.
type HomeSilent struct{}

// Elapsed is the end of a Wait.
type Elapsed struct{}

func (Start) event()        {}
func (RowRead) event()      {}
func (CommitEnded) event()  {}
func (HomeAnswered) event() {}
func (HomeSilent) event()   {}
func (Elapsed) event()      {}

// Action is the sealed set of what a step machine asks for: Read, Commit,
// AskHome, Wait and Done.
type Action interface{ action() }

// Read asks for a row.
type Read struct{ key string }

// Key is the row's key.
func (r Read) Key() string { return r.key }

// Commit asks for a transaction on one row.
type Commit struct {
	key string
	tx  bfstore.Transaction
}

// Key is the row's key.
func (c Commit) Key() string { return c.key }

// Transaction is what to commit.
func (c Commit) Transaction() bfstore.Transaction { return c.tx }

// AskHome asks a home to resolve a request.
type AskHome struct{ request bfrecord.ResolveRequest }

// Request is what to ask.
func (a AskHome) Request() bfrecord.ResolveRequest { return a.request }

// Wait asks for Elapsed after a time.
type Wait struct{ wait time.Duration }

// Duration is how long to wait.
func (w Wait) Duration() time.Duration { return w.wait }

// Done ends the machine.
type Done struct{ result Result }

// Result is what it came to.
func (d Done) Result() Result { return d.result }

func (Read) action()    {}
func (Commit) action()  {}
func (AskHome) action() {}
func (Wait) action()    {}
func (Done) action()    {}

// Result is the sealed set of what a claim comes to: Granted, RecordedOutcome,
// InProgress, ContentMismatch, Refused and HomeGone; and Settled of a Settlement.
type Result interface{ result() }

// Granted says that the key is this request's: it may be handed to the target now.
type Granted struct{}

// RecordedOutcome gives the outcome of the key's one run.
type RecordedOutcome struct {
	id     bfrecord.ID
	answer bfrecord.Answer
	object string
}

// ID is the request that ran.
func (r RecordedOutcome) ID() bfrecord.ID { return r.id }

// Answer is the outcome.
func (r RecordedOutcome) Answer() bfrecord.Answer { return r.answer }

// Object is the name in the object store of the answer's body; empty if the answer has it.
func (r RecordedOutcome) Object() string { return r.object }

// InProgress says that another request of the key may be running at its home.
type InProgress struct {
	home bfrecord.Home
	id   bfrecord.ID
}

// Home is who may be running it.
func (p InProgress) Home() bfrecord.Home { return p.home }

// ID is the request that may be running.
func (p InProgress) ID() bfrecord.ID { return p.id }

// ContentMismatch says that the key was claimed for other content.
type ContentMismatch struct{}

// Refused says that this request must not run: the table did not let the key be claimed.
type Refused struct {
	retryAfter time.Duration
	release    bool
}

// RetryAfter is how long to wait before a new sending.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// NeedsRelease says that a write of the claim did or may yet take effect, so a
// Settlement with Release must follow.
func (r Refused) NeedsRelease() bool { return r.release }

// HomeGone says that the key's home can't say any more whether it ran: it never runs again.
type HomeGone struct {
	home bfrecord.Home
	id   bfrecord.ID
}

// Home is who claimed the key.
func (h HomeGone) Home() bfrecord.Home { return h.home }

// ID is the request that may have run.
func (h HomeGone) ID() bfrecord.ID { return h.id }

// Settled says that a Settlement ended; written tells whether its row is the table's.
type Settled struct{ written bool }

// Written reports whether the row was written.
func (s Settled) Written() bool { return s.written }

func (Granted) result()         {}
func (RecordedOutcome) result() {}
func (InProgress) result()      {}
func (ContentMismatch) result() {}
func (Refused) result()         {}
func (HomeGone) result()        {}
func (Settled) result()         {}

// commitEnd is what the end of a commit says about the row.
type commitEnd uint8

const (
	commitApplied commitEnd = iota
	commitConflicted
	commitWithoutEffect
	commitUnknown
)

// classify takes every error that it does not know as a write that may yet land.
func classify(err error) (end commitEnd, row bfstore.Row, retryAfter time.Duration) {
	if err == nil {
		return commitApplied, bfstore.Row{}, 0
	}
	if conflict, ok := errors.AsType[*bfstore.ConflictError](err); ok {
		return commitConflicted, conflict.Row, 0
	}
	if away, ok := errors.AsType[*bfstore.UnavailableError](err); ok {
		return commitWithoutEffect, bfstore.Row{}, away.RetryAfter
	}
	return commitUnknown, bfstore.Row{}, 0
}
