package bftable

import "bilberryflow.org/lib/bfstore"

// Paths of the platform's protocol.
const (
	PathGet     = "/v1/rows/get"
	PathRange   = "/v1/rows/range"
	PathCommit  = "/v1/rows/commit"
	PathObjects = "/v1/objects/"
)

// GetRequest requests rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// RangeRequest requests rows with From <= key < To.
type RangeRequest struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Limit int    `json:"limit"`
}

// RowsAnswer is the response to GetRequest and RangeRequest.
type RowsAnswer struct {
	Rows []bfstore.Row `json:"rows"`
}

// ConflictAnswer is the response to a commit, with the row whose condition failed.
type ConflictAnswer struct {
	Row bfstore.Row `json:"row"`
}

// NamesAnswer lists the names of objects.
type NamesAnswer struct {
	Names []string `json:"names"`
}

// FailureAnswer states why the platform did not perform a call.
type FailureAnswer struct {
	Reason string `json:"reason"`
}
