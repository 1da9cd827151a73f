package bfresult

import (
	"fmt"
	"time"
)

// Result is the sealed set of answers: Table, Message, Progress, Outcome and Failure.
type Result interface{ result() }

// Column is one typed column of a table.
type Column struct {
	Name string     `json:"name"`
	Type ColumnType `json:"type"`
}

// Table is rows of typed cells.
type Table struct {
	// Name says what the rows are; scripts choose by it.
	Name    string
	Columns []Column
	Rows    [][]Cell
}

// Message is text for the operator.
type Message struct {
	Text string `json:"text"`
}

// Progress is how far a version has come; a watch answers with a stream of them.
type Progress struct {
	Version uint64
	Elapsed time.Duration
	// Held counts the nodes that hold the version or a later one.
	Held  int
	Nodes int
	// Unreachable counts the nodes that nobody could ask.
	Unreachable int
	// Oldest is the oldest version that a node in reach holds.
	Oldest uint64
}

// Status says how a command ended.
type Status string

// The ways a command ends.
const (
	// StatusDone: the command did what it says.
	StatusDone Status = "done"
	// StatusRefused: the command was wrong and nothing was changed.
	StatusRefused Status = "refused"
	// StatusNotAccepted: this attempt changed nothing; the same command may succeed later.
	StatusNotAccepted Status = "not-accepted"
	// StatusConflict: another change came first and nothing was changed.
	StatusConflict Status = "conflict"
	// StatusUnknown: nobody could learn whether the command took effect.
	StatusUnknown Status = "unknown"
)

// The exit codes of a client; they are part of its interface.
const (
	ExitDone        = 0
	ExitUsage       = 1
	ExitRefused     = 2
	ExitConflict    = 3
	ExitUnknown     = 4
	ExitUnreachable = 5
)

// ExitCode is the client's exit code for the status.
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
	// A status of a later release must never read as a success.
	return ExitUnknown
}

// Outcome is how a command that changes something ended.
type Outcome struct {
	Status Status
	// Summary says it in a sentence.
	Summary string
	// Version is the version committed, or that of the other change in a conflict.
	Version uint64
	// ChangeID is the ID to ask for, or that of the other change in a conflict.
	ChangeID string
	// Object is what two changes are in conflict about.
	Object string
	// Author is who confirmed the other change.
	Author string
	// RetryAfter is when a command that was not accepted may be tried again.
	RetryAfter time.Duration
}

// FailureKind sorts failures for scripts.
type FailureKind string

// The kinds of failures.
const (
	FailureSyntax      FailureKind = "syntax"
	FailureInvalid     FailureKind = "invalid"
	FailureUnavailable FailureKind = "unavailable"
	FailureInternal    FailureKind = "internal"
)

// Failure reports a command that was not carried out.
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

// Status is how a command with this failure ended.
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

// RowError reports a row that does not fit its table, a fault of the program that made it.
type RowError struct {
	Table  string
	Row    int
	Reason string
}

// Error names the table and the row.
func (e *RowError) Error() string {
	return fmt.Sprintf("table %s, row %d: %s", e.Table, e.Row, e.Reason)
}

// Check holds each row to the columns.
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
