package bfrender

import (
	"bytes"
	"encoding/json"
	"io"

	"bilberryflow.org/lib/bfquery/bfresult"
)

type messageDocument struct {
	Kind string `json:"kind"`
	*bfresult.Message
}

type progressDocument struct {
	Kind string `json:"kind"`
	*bfresult.ProgressMessage
}

type outcomeDocument struct {
	Kind string `json:"kind"`
	*bfresult.OutcomeMessage
}

// errorDocument encodes the failure's kind as "failure", since "kind" is the type of the document.
type errorDocument struct {
	Kind        string               `json:"kind"`
	FailureKind bfresult.FailureKind `json:"failure"`
	*bfresult.Failure
}

type tableDocument struct {
	Kind    string            `json:"kind"`
	Name    string            `json:"name"`
	Columns []bfresult.Column `json:"columns"`
	Rows    []rowDocument     `json:"rows"`
}

// rowDocument encodes a row as an object with its fields in the order of the columns.
type rowDocument struct {
	columns []bfresult.Column
	cells   []json.RawMessage
}

// MarshalJSON encodes the row as an object.
func (r rowDocument) MarshalJSON() ([]byte, error) {
	var text bytes.Buffer
	for i, column := range r.columns {
		name, err := json.Marshal(column.Name)
		if err != nil {
			return nil, err
		}
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		text.WriteByte(separator)
		text.Write(name)
		text.WriteByte(':')
		text.Write(r.cells[i])
	}
	text.WriteByte('}')
	return text.Bytes(), nil
}

// JSON writes a result as one line of JSON.
func JSON(w io.Writer, result bfresult.Result) error {
	message, err := bfresult.Encode(result)
	if err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(documentOf(message))
}

// documentOf wraps the one field that is set in a document with its kind.
func documentOf(m bfresult.ResultMessage) any {
	switch {
	case m.Table != nil:
		return documentOfTable(m.Table)
	case m.Message != nil:
		return messageDocument{Kind: "message", Message: m.Message}
	case m.Progress != nil:
		return progressDocument{Kind: "progress", ProgressMessage: m.Progress}
	case m.Outcome != nil:
		return outcomeDocument{Kind: "outcome", OutcomeMessage: m.Outcome}
	}
	return errorDocument{Kind: "error", FailureKind: m.Error.Kind, Failure: m.Error}
}

func documentOfTable(m *bfresult.TableMessage) tableDocument {
	rows := make([]rowDocument, 0, len(m.Rows))
	for _, cells := range m.Rows {
		rows = append(rows, rowDocument{columns: m.Columns, cells: cells})
	}
	return tableDocument{Kind: "table", Name: m.Name, Columns: m.Columns, Rows: rows}
}
