package bfresult

import (
	"encoding/json"
	"fmt"
	"time"
)

// CommandRequest is the body of POST /v1/commands.
type CommandRequest struct {
	// Commands is the text of one or more commands.
	Commands string `json:"commands"`
	// ChangeIDs holds one ID for each stage, undo and confirm in the text, in
	// order. The client generates them before the first attempt, so that a retry
	// through another node finds the outcome of the earlier attempt.
	ChangeIDs []string `json:"changeIds,omitempty"`
	// Author is informational; the node takes the author from the token.
	Author string `json:"author,omitempty"`
}

// ResultMessage is one line of the response; exactly one field is set.
type ResultMessage struct {
	Table    *TableMessage    `json:"table,omitempty"`
	Message  *Message         `json:"message,omitempty"`
	Progress *ProgressMessage `json:"progress,omitempty"`
	Outcome  *OutcomeMessage  `json:"outcome,omitempty"`
	Error    *Failure         `json:"error,omitempty"`
	End      *EndMessage      `json:"end,omitempty"`
}

// EndMessage is the last line of a complete response.
//
// A node that crashes while it responds can leave a stream that ends at a line
// break. Without this line the client could not detect the truncation and would
// report a partial response, or an unfinished confirm, as complete.
type EndMessage struct {
	Status Status `json:"status"`
}

// TableMessage encodes a Table; the type of the column determines the JSON type of its cells.
type TableMessage struct {
	Name    string              `json:"name"`
	Columns []Column            `json:"columns"`
	Rows    [][]json.RawMessage `json:"rows"`
}

// ProgressMessage encodes a Progress.
type ProgressMessage struct {
	Version     uint64 `json:"version"`
	Elapsed     string `json:"elapsed"`
	Held        int    `json:"held"`
	Nodes       int    `json:"nodes"`
	Unreachable int    `json:"unreachable"`
	Oldest      uint64 `json:"oldest"`
}

// OutcomeMessage encodes an Outcome.
type OutcomeMessage struct {
	Status     Status `json:"status"`
	Summary    string `json:"summary"`
	Version    uint64 `json:"version,omitempty"`
	ChangeID   string `json:"changeId,omitempty"`
	Object     string `json:"object,omitempty"`
	Author     string `json:"author,omitempty"`
	RetryAfter string `json:"retryAfter,omitempty"`
}

// MessageError reports a malformed message.
type MessageError struct{ Reason string }

// Error returns the reason.
func (e *MessageError) Error() string { return "unreadable answer: " + e.Reason }

// Encode converts a result to a message. Its error is a *RowError for a table whose
// rows do not match its columns.
func Encode(result Result) (ResultMessage, error) {
	switch r := result.(type) {
	case Table:
		table, err := encodeTable(r)
		return ResultMessage{Table: table}, err
	case Message:
		return ResultMessage{Message: &r}, nil
	case Progress:
		return ResultMessage{Progress: encodeProgress(r)}, nil
	case Outcome:
		return ResultMessage{Outcome: encodeOutcome(r)}, nil
	case Failure:
		return ResultMessage{Error: &r}, nil
	}
	return ResultMessage{}, &MessageError{Reason: fmt.Sprintf("result of unknown type %T", result)}
}

func encodeProgress(p Progress) *ProgressMessage {
	return &ProgressMessage{
		Version: p.Version, Elapsed: FormatDuration(p.Elapsed), Held: p.Held, Nodes: p.Nodes,
		Unreachable: p.Unreachable, Oldest: p.Oldest,
	}
}

func encodeOutcome(o Outcome) *OutcomeMessage {
	message := &OutcomeMessage{
		Status: o.Status, Summary: o.Summary, Version: o.Version,
		ChangeID: o.ChangeID, Object: o.Object, Author: o.Author,
	}
	if o.RetryAfter > 0 {
		message.RetryAfter = FormatDuration(o.RetryAfter)
	}
	return message
}

func encodeTable(t Table) (*TableMessage, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	message := &TableMessage{Name: t.Name, Columns: t.Columns, Rows: make([][]json.RawMessage, 0, len(t.Rows))}
	for _, row := range t.Rows {
		values := make([]json.RawMessage, 0, len(row))
		for _, cell := range row {
			value, err := EncodeCell(cell)
			if err != nil {
				return nil, err
			}
			values = append(values, value)
		}
		message.Rows = append(message.Rows, values)
	}
	return message, nil
}

// EncodeCell encodes a cell as the JSON value of its type.
func EncodeCell(cell Cell) (json.RawMessage, error) {
	switch c := cell.(type) {
	case NumberCell, PercentCell, FlagCell:
		return json.Marshal(c)
	case ListCell:
		return json.Marshal(append([]string{}, c...))
	case TimeCell:
		if time.Time(c).IsZero() {
			return json.RawMessage("null"), nil
		}
	case TextCell, DurationCell:
	}
	return json.Marshal(cell.String())
}

// Result decodes the result in the message. It returns an error for an end
// message, which has none.
func (m ResultMessage) Result() (Result, error) {
	var results []Result
	if m.Table != nil {
		table, err := m.Table.table()
		if err != nil {
			return nil, err
		}
		results = append(results, table)
	}
	if m.Message != nil {
		results = append(results, *m.Message)
	}
	if m.Progress != nil {
		progress, err := m.Progress.progress()
		if err != nil {
			return nil, err
		}
		results = append(results, progress)
	}
	if m.Outcome != nil {
		outcome, err := m.Outcome.outcome()
		if err != nil {
			return nil, err
		}
		results = append(results, outcome)
	}
	if m.Error != nil {
		results = append(results, *m.Error)
	}
	if len(results) != 1 || m.End != nil {
		return nil, &MessageError{Reason: fmt.Sprintf("a line with %d results", len(results))}
	}
	return results[0], nil
}

func (m ProgressMessage) progress() (Progress, error) {
	elapsed, err := time.ParseDuration(m.Elapsed)
	if err != nil {
		return Progress{}, &MessageError{Reason: err.Error()}
	}
	return Progress{
		Version: m.Version, Elapsed: elapsed, Held: m.Held, Nodes: m.Nodes,
		Unreachable: m.Unreachable, Oldest: m.Oldest,
	}, nil
}

func (m OutcomeMessage) outcome() (Outcome, error) {
	outcome := Outcome{
		Status: m.Status, Summary: m.Summary, Version: m.Version,
		ChangeID: m.ChangeID, Object: m.Object, Author: m.Author,
	}
	if m.RetryAfter == "" {
		return outcome, nil
	}
	after, err := time.ParseDuration(m.RetryAfter)
	if err != nil {
		return Outcome{}, &MessageError{Reason: err.Error()}
	}
	outcome.RetryAfter = after
	return outcome, nil
}

func (m TableMessage) table() (Table, error) {
	table := Table{Name: m.Name, Columns: m.Columns}
	for i, values := range m.Rows {
		if len(values) != len(m.Columns) {
			return Table{}, &RowError{Table: m.Name, Row: i, Reason: "wrong number of cells"}
		}
		row := make([]Cell, 0, len(values))
		for j, value := range values {
			cell, err := decodeCell(m.Columns[j].Type, value)
			if err != nil {
				return Table{}, &RowError{Table: m.Name, Row: i, Reason: err.Error()}
			}
			row = append(row, cell)
		}
		table.Rows = append(table.Rows, row)
	}
	return table, nil
}

func decodeCell(t ColumnType, value json.RawMessage) (Cell, error) {
	switch t {
	case TypeNumber:
		var c NumberCell
		err := json.Unmarshal(value, &c)
		return c, err
	case TypePercent:
		var c PercentCell
		err := json.Unmarshal(value, &c)
		return c, err
	case TypeFlag:
		var c FlagCell
		err := json.Unmarshal(value, &c)
		return c, err
	case TypeList:
		var c ListCell
		err := json.Unmarshal(value, &c)
		return c, err
	case TypeText, TypeDuration, TypeTime:
	}
	var text *string
	if err := json.Unmarshal(value, &text); err != nil {
		return nil, err
	}
	if text == nil {
		if t == TypeTime {
			return TimeCell{}, nil
		}
		return nil, &MessageError{Reason: "null in a column of type " + string(t)}
	}
	return ParseCell(t, *text)
}
