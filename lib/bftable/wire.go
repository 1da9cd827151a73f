package bftable

import "bilberryflow.org/lib/bfstore"

// Paths of the platform's protocol.
const (
	PathGet     = "/v1/rows/get"
	PathRange   = "/v1/rows/range"
	PathCommit  = "/v1/rows/commit"
	PathObjects = "/v1/objects/"
)

// GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// RangeRequest asks for rows with From <= key < To.
type RangeRequest struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Limit int    `json:"limit"`
}

// RowsAnswer carries rows.
type RowsAnswer struct {
	Rows []bfstore.Row `json:"rows"`
}

// ConflictAnswer carries the row whose condition failed.
type ConflictAnswer struct {
	Row bfstore.Row `json:"row"`
}

// NamesAnswer carries names of objects.
type NamesAnswer struct {
	Names []string `json:"names"`
}

// FailureAnswer says why the platform did not run a call.
type FailureAnswer struct {
	Reason string `json:"reason"`
}
