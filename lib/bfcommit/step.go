package bfcommit

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
)

// Event is the sealed set of what can happen to an Attempt.
type Event interface{ isEvent() }

// Begin starts the attempt; it is the first event, and the only one that comes unasked.
type Begin struct{}

// RowsRead answers Read and ReadRange.
type RowsRead struct{ Rows []bfstore.Row }

// ReadFailed answers Read and ReadRange.
type ReadFailed struct {
	Reason     error
	RetryAfter time.Duration
}

// CommitApplied answers Commit: the transaction took effect.
type CommitApplied struct{}

// CommitConflicted answers Commit: a condition did not hold, nothing was written.
type CommitConflicted struct{}

// CommitUnavailable answers Commit: nothing was written.
type CommitUnavailable struct {
	Reason     error
	RetryAfter time.Duration
}

// CommitUnknown answers Commit: it took effect, or it will later, or it never will.
type CommitUnknown struct{ Reason error }

// Waited answers Wait.
type Waited struct{}

// Canceled ends the attempt in place of any answer.
type Canceled struct{ Reason error }

func (Begin) isEvent()             {}
func (RowsRead) isEvent()          {}
func (ReadFailed) isEvent()        {}
func (CommitApplied) isEvent()     {}
func (CommitConflicted) isEvent()  {}
func (CommitUnavailable) isEvent() {}
func (CommitUnknown) isEvent()     {}
func (Waited) isEvent()            {}
func (Canceled) isEvent()          {}

// Action is the sealed set of what an Attempt asks for next.
type Action interface{ isAction() }

// Read asks for rows as of one moment, in this order.
type Read struct{ Keys []string }

// ReadRange asks for up to Limit rows with From <= key < To.
type ReadRange struct {
	From, To string
	Limit    int
}

// Commit asks for the transaction to be run once.
type Commit struct{ Transaction bfstore.Transaction }

// Wait asks for Waited at a time.
type Wait struct{ Until time.Time }

// Done ends the attempt.
type Done struct{ Outcome Outcome }

func (Read) isAction()      {}
func (ReadRange) isAction() {}
func (Commit) isAction()    {}
func (Wait) isAction()      {}
func (Done) isAction()      {}

// Outcome is the sealed set of what an operator can be told; each is true whatever happens later.
type Outcome interface{ isOutcome() }

// Committed tells that this attempt made the change a version.
type Committed struct {
	Version bfconfig.Version
	Delta   bfconfig.Delta
	State   *bfconfig.State
}

// AlreadyCommitted tells that the change became a version before, perhaps through another node.
type AlreadyCommitted struct{ Version bfconfig.Version }

// Withdrawn tells that the change was withdrawn and can never become a version.
type Withdrawn struct{}

// Conflict tells that another change came first; this attempt wrote nothing.
type Conflict struct{ Err *ConflictError }

// Invalid tells that the change breaks a rule; this attempt wrote nothing.
type Invalid struct{ Err error }

// NotAccepted tells that nothing was written by this attempt, nor will be; another may succeed.
type NotAccepted struct {
	Reason     error
	RetryAfter time.Duration
}

// Unknown tells that the change may have become a version, or may yet; confirming or withdrawing it again is safe and finds out.
type Unknown struct {
	ID     string
	Reason error
}

func (Committed) isOutcome()        {}
func (AlreadyCommitted) isOutcome() {}
func (Withdrawn) isOutcome()        {}
func (Conflict) isOutcome()         {}
func (Invalid) isOutcome()          {}
func (NotAccepted) isOutcome()      {}
func (Unknown) isOutcome()          {}

// BusyError reports that other changes came first too many times.
type BusyError struct{ Tries int }

// Error gives the number of tries.
func (e *BusyError) Error() string {
	return fmt.Sprintf("other changes came first %d times", e.Tries)
}

// TimeoutError reports that an attempt used up its time.
type TimeoutError struct{ Limit time.Duration }

// Error gives the time.
func (e *TimeoutError) Error() string { return fmt.Sprintf("not done within %v", e.Limit) }

// HeadError reports that the table's newest version contradicts what this node holds.
type HeadError struct{ Held, Table Head }

// Error gives both versions and digests.
func (e *HeadError) Error() string {
	return fmt.Sprintf("table is at version %d (%s), this node at version %d (%s)",
		e.Table.Version, e.Table.Digest, e.Held.Version, e.Held.Digest)
}

// GapError reports a version whose row is missing.
type GapError struct{ Version bfconfig.Version }

// Error names the version.
func (e *GapError) Error() string { return fmt.Sprintf("no row of version %d", e.Version) }

// StepError reports an event that does not answer what the attempt asked for: a fault of the driver.
type StepError struct {
	Event Event
	Phase string
}

// Error names the event and what was asked for.
func (e *StepError) Error() string { return fmt.Sprintf("%T in phase %s", e.Event, e.Phase) }
