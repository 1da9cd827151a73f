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
	// Revision grows with every write to the row and is never used twice.
	Revision uint64 `json:"revision"`
}

// Condition holds a transaction back unless the row still has the revision; 0 means it must not exist.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets a row's value, or removes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

// Transaction applies all its writes if all its conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads rows as of one moment, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Range reads up to limit rows with from <= key < to, by key.
	Range(ctx context.Context, from, to string, limit int) ([]Row, error)
	// Commit runs the transaction; its errors are ConflictError, UnavailableError and UnknownError.
	Commit(ctx context.Context, tx Transaction) error
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores data under name, in place of what was there.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object reads what is stored under name.
	Object(ctx context.Context, name string) ([]byte, error)
	// ListObjects lists the names that start with prefix, by name.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
	// DeleteObject removes what is stored under name, if anything is.
	DeleteObject(ctx context.Context, name string) error
}

// ConflictError reports a transaction that was not applied since a condition did not hold.
type ConflictError struct {
	// Row is the first row whose condition failed, as it is now.
	Row Row
}

// Error names the row.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at revision %d", e.Row.Key, e.Row.Revision)
}

// UnavailableError reports a call that certainly had no effect.
type UnavailableError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error gives the reason.
func (e *UnavailableError) Error() string { return "platform unavailable: " + e.Reason }

// UnknownError reports a write that may or may not have taken effect.
type UnknownError struct{ Reason string }

// Error gives the reason.
func (e *UnknownError) Error() string { return "outcome of the write unknown: " + e.Reason }

// NotFoundError reports an object that is not stored.
type NotFoundError struct{ Name string }

// Error names the object.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q not found", e.Name) }
