package bfresult

import (
	"fmt"
	"time"
)

// Result is the sealed set of command results: Table, Message, Progress, Outcome and Failure.
type Result interface{ result() }

// Column is one typed column of a table.
type Column struct {
	Name string     `json:"name"`
	Type ColumnType `json:"type"`
}

// Table is rows of typed cells.
type Table struct {
	// Name identifies the kind of rows to scripts.
	Name    string
	Columns []Column
	Rows    [][]Cell
}

// Message is informational text for the operator.
type Message struct {
	Text string `json:"text"`
}

// Progress is the rollout state of a version; a watch sends a stream of them.
type Progress struct {
	Version uint64
	Elapsed time.Duration
	// Held counts the nodes that hold the version or a later one.
	Held  int
	Nodes int
	// Unreachable counts the nodes that did not respond.
	Unreachable int
	// Oldest is the oldest version that a reachable node holds.
	Oldest uint64
}

// Status is the final status of a command.
type Status string

// The statuses of a command.
const (
	// StatusDone: the command succeeded.
	StatusDone Status = "done"
	// StatusRefused: the command was invalid and nothing was changed.
	StatusRefused Status = "refused"
	// StatusNotAccepted: this attempt changed nothing; the same command may succeed later.
	StatusNotAccepted Status = "not-accepted"
	// StatusConflict: another change was committed first and nothing was changed.
	StatusConflict Status = "conflict"
	// StatusUnknown: it is unknown whether the command took effect.
	StatusUnknown Status = "unknown"
)

// The exit codes of the command-line client, which are part of its interface.
const (
	ExitDone        = 0
	ExitUsage       = 1
	ExitRefused     = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnreachable = 5
)

// ExitCode returns the client's exit code for the status.
func (s Status) ExitCode() int {
	switch s {
	case StatusDone:
		return ExitDone
	case StatusRefused, StatusNotAccepted:
		return ExitRefused
	case StatusConflict:
		return ExitConflict
	case StatusUnknown:
	}
	// An unrecognized status, of a later release, must not be reported as a success.
	return ExitUnknown
}

// Outcome is the result of a command that changes something.
type Outcome struct {
	Status Status
	// Summary describes the outcome in one sentence.
	Summary string
	// Version is the version committed, or that of the other change in a conflict.
	Version uint64
	// ChangeID is the ID to retry with, or that of the other change in a conflict.
	ChangeID string
	// Object is the object in conflict.
	Object string
	// Author is the author of the other change in a conflict.
	Author string
	// RetryAfter is the delay after which a command that was not accepted may be retried.
	RetryAfter time.Duration
}

// FailureKind classifies failures for scripts.
type FailureKind string

// The kinds of failures.
const (
	FailureSyntax      FailureKind = "syntax"
	FailureInvalid     FailureKind = "invalid"
	FailureUnavailable FailureKind = "unavailable"
	FailureInternal    FailureKind = "internal"
)

// Failure reports a command that was not executed.
type Failure struct {
	Kind    FailureKind `json:"kind"`
	Message string      `json:"message"`
	// Line, Column, Found, Expected, Hint and Excerpt are set for syntax errors.
	Line     int    `json:"line,omitempty"`
	Column   int    `json:"column,omitempty"`
	Found    string `json:"found,omitempty"`
	Expected string `json:"expected,omitempty"`
	Hint     string `json:"hint,omitempty"`
	// Excerpt is the line of the command text that holds the error.
	Excerpt string `json:"excerpt,omitempty"`
}

// Status returns the status of a command with this failure.
func (f Failure) Status() Status {
	switch f.Kind {
	case FailureSyntax, FailureInvalid:
		return StatusRefused
	case FailureUnavailable, FailureInternal:
	}
	return StatusNotAccepted
}

func (Table) result()    {}
func (Message) result()  {}
func (Progress) result() {}
func (Outcome) result()  {}
func (Failure) result()  {}

// RowError reports a row that does not match its table's columns, which indicates
// a bug in the sender.
type RowError struct {
	Table  string
	Row    int
	Reason string
}

// Error returns the table, the row and the reason.
func (e *RowError) Error() string {
	return fmt.Sprintf("table %s, row %d: %s", e.Table, e.Row, e.Reason)
}

// Check verifies that each row matches the columns. Its error is a *RowError.
func (t Table) Check() error {
	for i, row := range t.Rows {
		if len(row) != len(t.Columns) {
			reason := fmt.Sprintf("%d cells for %d columns", len(row), len(t.Columns))
			return &RowError{Table: t.Name, Row: i, Reason: reason}
		}
		for j, cell := range row {
			if cell == nil || cell.Type() != t.Columns[j].Type {
				reason := fmt.Sprintf("cell %v in column %s of type %s", cell, t.Columns[j].Name, t.Columns[j].Type)
				return &RowError{Table: t.Name, Row: i, Reason: reason}
			}
		}
	}
	return nil
}
