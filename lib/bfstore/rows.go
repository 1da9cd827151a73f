package bfstore

import (
	"context"
	"fmt"
	"time"
)

// Entry is a row of a named table, or a record of its removal.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
}

// TableStore is a store of named tables whose changes can be watched.
type TableStore interface {
	// List returns a consistent snapshot of a table and the snapshot's revision.
	List(ctx context.Context, table string) ([]Entry, Revision, error)
	// Get returns one row as of now, with Removed set if it doesn't exist.
	Get(ctx context.Context, table, key string) (Entry, error)
	// Changes returns the rows changed after a revision, waiting for a change for at most wait,
	// and the revision to pass to the next call. It returns a *HistoryError if the changes are
	// no longer kept.
	Changes(ctx context.Context, table string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Write applies all writes atomically, and returns the rows' new revision. Its errors are
	// *ConflictError, *UnavailableError and *UnknownError.
	Write(ctx context.Context, table string, writes ...RowWrite) (Revision, error)
}

// MaxWrites is the maximum number of writes in one Write: the platform accepts 100 entries
// per call, and each write takes two, itself and its condition.
const MaxWrites = 50

// RowWrite is a conditional write or removal of one row.
type RowWrite struct {
	Key string
	// Value is the new value; it is ignored if Remove is set, which removes the row.
	Value  []byte
	Remove bool
	// Revision is the revision that the row must have, 0 if it must not exist.
	Revision Revision
}

// HistoryError reports that the changes after a revision are no longer kept; the caller must list the table again.
type HistoryError struct {
	Table string
	After Revision
}

// Error includes the table and the revision.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("changes of table %q after revision %v are no longer kept", e.Table, e.After)
}
