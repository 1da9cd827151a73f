package bfstore

import (
	"context"
	"fmt"
	"time"
)

// Entry is one row of a named table, or the word that it was removed.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Rows is a store of named tables whose changes can be followed.
type Rows interface {
	// List reads a whole table as of one moment, and the revision of that moment.
	List(ctx context.Context, table string) ([]Entry, uint64, error)
	// Changes waits for rows changed after a revision, at most wait; the revision returned is where to go on.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Write makes all of the writes or none of them, and returns the revision that the rows
	// then have. Its errors are ConflictError, UnavailableError and UnknownError.
	Write(ctx context.Context, table string, writes ...RowWrite) (uint64, error)
}

// MaxWrites is how many writes may be made together: the platform takes 100 entries in a
// call, and each write is one and its condition another.
const MaxWrites = 50

// RowWrite is what becomes of one row.
type RowWrite struct {
	Key string
	// Value is what the row holds then; Remove says that it is gone instead.
	Value  []byte
	Remove bool
	// Revision is the one that the row must still have, 0 for one that does not exist.
	Revision uint64
}

// HistoryError reports that the changes after a revision are no longer kept: the table must be listed anew.
type HistoryError struct {
	Table string
	After uint64
}

// Error names the table and the revision.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("changes of table %q after revision %d are no longer kept", e.Table, e.After)
}
