package bfcommit

import (
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
)

// Event is the sealed set of inputs of an Attempt: its start, the results of its actions
// and its cancellation.
type Event interface{ isEvent() }

// Begin starts the attempt; it is the first event.
type Begin struct{}

// RowsRead is the result of a Read or ReadRange that succeeded.
type RowsRead struct{ Rows []bfstore.Row }

// ReadFailed is the result of a Read or ReadRange that failed.
type ReadFailed struct {
	Reason     error
	RetryAfter time.Duration
}

// CommitApplied is the result of a Commit whose transaction took effect.
type CommitApplied struct{}

// CommitConflicted is the result of a Commit of which a condition did not hold; nothing
// was written.
type CommitConflicted struct{}

// CommitUnavailable is the result of a Commit that the table did not process; nothing
// was written.
type CommitUnavailable struct {
	Reason     error
	RetryAfter time.Duration
}

// CommitUnknown is the result of a Commit whose answer is lost: the transaction may have
// taken effect, or still may.
type CommitUnknown struct{ Reason error }

// Waited is the result of a Wait.
type Waited struct{}

// Canceled ends the attempt; it may replace the result of any action.
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

// Action is the sealed set of actions that an Attempt requests.
type Action interface{ isAction() }

// Read requests an atomic read of rows, returned in the order of Keys.
type Read struct{ Keys []string }

// ReadRange requests up to Limit rows with From <= key < To.
type ReadRange struct {
	From, To string
	Limit    int
}

// Commit requests one execution of the transaction.
type Commit struct{ Transaction bfstore.Transaction }

// Wait requests the event Waited at a time.
type Wait struct{ Until time.Time }

// Done ends the attempt.
type Done struct{ Outcome Outcome }

func (Read) isAction()      {}
func (ReadRange) isAction() {}
func (Commit) isAction()    {}
func (Wait) isAction()      {}
func (Done) isAction()      {}

// Outcome is the sealed set of outcomes of an attempt; each remains true regardless of
// later events.
type Outcome interface{ isOutcome() }

// Committed means that this attempt committed the change as a version.
type Committed struct {
	Version bfconfig.Version
	Delta   bfconfig.Delta
	State   *bfconfig.State
}

// AlreadyCommitted means that the change was committed before, perhaps through another node.
type AlreadyCommitted struct{ Version bfconfig.Version }

// Withdrawn means that the change was withdrawn and can never be committed.
type Withdrawn struct{}

// Conflict means that a conflicting change was committed first; this attempt wrote nothing.
type Conflict struct{ Err *ConflictError }

// Invalid means that the change is invalid; this attempt wrote nothing.
type Invalid struct{ Err error }

// NotAccepted means that no write of this attempt has taken or will take effect;
// another attempt may succeed.
type NotAccepted struct {
	Reason     error
	RetryAfter time.Duration
}

// Unknown means that the change may have been committed or may still be. Another
// confirm or withdrawal is safe and determines the outcome.
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

// BusyError reports that other changes were committed first too many times.
type BusyError struct{ Tries int }

// Error names the number of tries.
func (e *BusyError) Error() string {
	return fmt.Sprintf("other changes were committed first %d times", e.Tries)
}

// TimeoutError reports that an attempt exceeded its time limit.
type TimeoutError struct{ Limit time.Duration }

// Error names the limit.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("attempt exceeded its time limit of %v", e.Limit)
}

// HeadError reports that the table's head is inconsistent with the version this node holds.
type HeadError struct{ Held, Table Head }

// Error names both versions and digests.
func (e *HeadError) Error() string {
	return fmt.Sprintf("inconsistent head: table has version %d (digest %s), this node version %d (digest %s)",
		e.Table.Version, e.Table.Digest, e.Held.Version, e.Held.Digest)
}

// GapError reports a version whose row is missing.
type GapError struct{ Version bfconfig.Version }

// Error names the version.
func (e *GapError) Error() string { return fmt.Sprintf("row of version %d is missing", e.Version) }

// StepError reports an event that isn't a result of the requested action: a bug in the
// caller of Next.
type StepError struct {
	Event Event
	Phase string
}

// Error names the event and the phase.
func (e *StepError) Error() string {
	return fmt.Sprintf("unexpected event %T in phase %q", e.Event, e.Phase)
}
