package bfstore

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of the table; a row that does not exist has revision 0.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Revision increases with every write to the row and is never reused.
	Revision uint64 `json:"revision"`
}

// Condition requires that a row has the revision, or does not exist if Revision is 0.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets a row's value, or removes the row if Remove is set.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

// Transaction atomically applies all its writes if all its conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads a consistent snapshot of the rows, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Range reads up to limit rows with from <= key < to, sorted by key.
	Range(ctx context.Context, from, to string, limit int) ([]Row, error)
	// Commit runs the transaction. Its errors are *ConflictError, *UnavailableError and *UnknownError.
	Commit(ctx context.Context, tx Transaction) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// PutObject stores data under name and replaces an existing object.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object returns the data stored under name, or a *NotFoundError.
	Object(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns the names that start with prefix, sorted.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
	// DeleteObject removes the object under name; it is no error if there is none.
	DeleteObject(ctx context.Context, name string) error
}

// ConflictError reports a transaction that was not applied because a condition did not hold.
type ConflictError struct {
	// Row is the current state of the first row whose condition failed.
	Row Row
}

// Error includes the row's key and revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at revision %d", e.Row.Key, e.Row.Revision)
}

// UnavailableError reports a failed call that had no effect.
type UnavailableError struct {
	Reason string
	// RetryAfter is the suggested delay before a retry; 0 if none is suggested.
	RetryAfter time.Duration
}

// Error includes the reason.
func (e *UnavailableError) Error() string { return "platform unavailable: " + e.Reason }

// UnknownError reports a write that may or may not have taken effect.
type UnknownError struct{ Reason string }

// Error includes the reason.
func (e *UnknownError) Error() string { return "outcome of the write unknown: " + e.Reason }

// NotFoundError reports an object that is not stored.
type NotFoundError struct{ Name string }

// Error includes the object's name.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q not found", e.Name) }
