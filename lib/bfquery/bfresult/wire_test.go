package bfresult

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawCell(t *rapid.T, kind ColumnType) Cell {
	n := rapid.Int64().Draw(t, "n")
	switch kind {
	case TypeNumber:
		return NumberCell(n)
	case TypePercent:
		return PercentCell(n)
	case TypeDuration:
		return DurationCell(n)
	case TypeTime:
		if n%5 == 0 {
			return TimeCell{}
		}
		return TimeCell(time.Unix(n%(1<<32), n%1e9&^1).UTC())
	case TypeFlag:
		return FlagCell(n%2 == 0)
	case TypeList:
		return append(ListCell{}, rapid.SliceOfN(rapid.String(), 0, 3).Draw(t, "list")...)
	case TypeText:
	}
	return TextCell(rapid.String().Draw(t, "text"))
}

func drawResult(t *rapid.T) Result {
	texts := rapid.String()
	duration := time.Duration(rapid.Int64Range(1, 1<<50).Draw(t, "duration"))
	count := rapid.IntRange(0, 30_000).Draw(t, "count")
	types := []ColumnType{TypeText, TypeNumber, TypePercent, TypeDuration, TypeTime, TypeFlag, TypeList}
	table := Table{Name: "t"}
	for _, kind := range types {
		table.Columns = append(table.Columns, Column{Name: string(kind), Type: kind})
	}
	for range rapid.IntRange(0, 3).Draw(t, "rows") {
		var row []Cell
		for _, kind := range types {
			row = append(row, drawCell(t, kind))
		}
		table.Rows = append(table.Rows, row)
	}
	return rapid.SampledFrom([]Result{
		table, Message{texts.Draw(t, "text")}, Progress{7, duration, count, count + 1, 1, 6},
		Outcome{StatusConflict, texts.Draw(t, "summary"), 9, "id", "route a", "marta", duration},
		Failure{FailureSyntax, texts.Draw(t, "message"), 1, 2, "found", "expected", "hint", "excerpt"},
	}).Draw(t, "result")
}

// Every result must be equal after encoding and decoding.
func TestResultRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		result := drawResult(t)
		message, err := Encode(result)
		is.NoErr(err)
		data, err := json.Marshal(message)
		is.NoErr(err)
		var received ResultMessage
		is.NoErr(json.Unmarshal(data, &received))
		got, err := received.Result()
		is.NoErr(err)
		is.Equal(got, result)
	})
}

// Malformed messages, from a faulty or newer node, must be rejected without a panic.
func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, line := range []string{
		`{}`, `{"message":{"text":"a"},"outcome":{"status":"done"}}`, `{"message":{"text":"a"},"end":{"status":"done"}}`,
		`{"outcome":{"status":"done","retryAfter":"soon"}}`, `{"progress":{"elapsed":"x"}}`,
		`{"table":{"columns":[{"name":"a","type":"number"}],"rows":[[]]}}`,
		`{"table":{"columns":[{"name":"a","type":"number"}],"rows":[["x"]]}}`,
		`{"table":{"columns":[{"name":"a","type":"shape"}],"rows":[["x"]]}}`,
		`{"table":{"columns":[{"name":"a","type":"text"}],"rows":[[null]]}}`,
	} {
		var message ResultMessage
		if err := json.Unmarshal([]byte(line), &message); err != nil {
			t.Fatal(err)
		}
		if result, err := message.Result(); err == nil {
			t.Errorf("%s read as %v", line, result)
		}
	}
}

// A row that does not match its columns must be reported as an error; an index out
// of range would crash the node.
func TestRowsMustMatchColumns(t *testing.T) {
	is := is.New(t)
	for _, row := range [][]Cell{{}, {nil}, {TextCell("x")}, {NumberCell(1), NumberCell(2)}} {
		_, err := Encode(Table{Columns: []Column{{"a", TypeNumber}}, Rows: [][]Cell{row}})
		var rowError *RowError
		is.True(errors.As(err, &rowError))
	}
}

// An unrecognized status must not map to the exit code of success.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	for status, code := range map[Status]int{
		StatusDone: 0, StatusRefused: 2, StatusNotAccepted: 2, StatusConflict: 3, StatusUnknown: 4, "later": 4, "": 4,
	} {
		is.Equal(status.ExitCode(), code)
	}
}
