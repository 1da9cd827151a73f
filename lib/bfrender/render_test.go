package bfrender

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfquery/bfresult"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// results includes names with escape sequences and tabs, empty cells, and a syntax
// error whose line needs replacements to keep the caret aligned.
func results() []bfresult.Result {
	columns := []bfresult.Column{
		{Name: "name", Type: bfresult.TypeText}, {Name: "slots", Type: bfresult.TypeNumber},
		{Name: "retry", Type: bfresult.TypePercent}, {Name: "coldstart", Type: bfresult.TypeDuration},
		{Name: "at", Type: bfresult.TypeTime}, {Name: "leaving", Type: bfresult.TypeFlag},
		{Name: "routes", Type: bfresult.TypeList},
	}
	at := bfresult.TimeCell(time.Date(2026, 12, 24, 16, 0, 0, 5e6, time.UTC))
	return []bfresult.Result{
		bfresult.Table{Name: "services", Columns: columns, Rows: [][]bfresult.Cell{
			{bfresult.TextCell("portal-core"), bfresult.NumberCell(12), bfresult.PercentCell(10),
				bfresult.DurationCell(90 * time.Second), at, bfresult.FlagCell(true), bfresult.ListCell{"a", "b"}},
			{bfresult.TextCell("\x1b[2Jevil\tname\n"), bfresult.NumberCell(-1), bfresult.PercentCell(0),
				bfresult.DurationCell(0), bfresult.TimeCell{}, bfresult.FlagCell(false), bfresult.ListCell{}},
			{bfresult.TextCell("é <&> ü"), bfresult.NumberCell(100_000), bfresult.PercentCell(100),
				bfresult.DurationCell(1500 * time.Microsecond), at, bfresult.FlagCell(false), bfresult.ListCell{"\x00"}},
		}},
		bfresult.Table{Name: "routes", Columns: columns[:1]},
		bfresult.Message{Text: "two\nlines \x07"},
		bfresult.Progress{Version: 41, Elapsed: 1500 * time.Millisecond, Held: 20, Nodes: 25, Unreachable: 2, Oldest: 39},
		bfresult.Progress{Version: 41, Elapsed: 2 * time.Second, Held: 25, Nodes: 25, Oldest: 41},
		bfresult.Outcome{Status: bfresult.StatusDone, Summary: "autumn is version 41", Version: 41, ChangeID: "01JD"},
		bfresult.Outcome{Status: bfresult.StatusNotAccepted, Summary: "the table is away", RetryAfter: 5 * time.Second},
		bfresult.Outcome{Status: bfresult.StatusConflict, Summary: "ines changed route a first", Version: 40,
			ChangeID: "01JC", Object: "route a", Author: "ines"},
		bfresult.Failure{Kind: bfresult.FailureInvalid, Message: "route a exists already"},
		bfresult.Failure{Kind: bfresult.FailureSyntax, Message: "line 2, column 7", Line: 2, Column: 7,
			Found: `"x"`, Expected: "y", Hint: "did you mean y?", Excerpt: "\tshöw\tx"},
	}
}

func TestOutputGolden(t *testing.T) {
	is := is.New(t)
	var text, documents bytes.Buffer
	for _, result := range results() {
		is.NoErr(Text(&text, result))
		is.NoErr(JSON(&documents, result))
	}
	for name, got := range map[string][]byte{"testdata/text.golden": text.Bytes(), "testdata/json.golden": documents.Bytes()} {
		if *update {
			is.NoErr(os.WriteFile(name, got, 0o644))
		}
		want, err := os.ReadFile(name)
		is.NoErr(err)
		is.Equal(string(got), string(want))
	}
}

// An invalid error column in a node's response must not cause a panic or unbounded
// output.
func TestErrorColumnOutOfRange(t *testing.T) {
	is := is.New(t)
	for _, column := range []int{-5, 0, 1, 1 << 60} {
		var text bytes.Buffer
		is.NoErr(Text(&text, bfresult.Failure{Kind: bfresult.FailureSyntax, Column: column, Excerpt: "x"}))
		is.True(text.Len() < 2000)
	}
}
