package bfrender

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"bilberryflow.org/lib/bfquery/bfresult"
)

// ResultError reports a result of a type that can't be rendered.
type ResultError struct{ Result bfresult.Result }

// Error names the type.
func (e *ResultError) Error() string { return fmt.Sprintf("result of unknown type %T", e.Result) }

// Text writes a result for people.
func Text(w io.Writer, result bfresult.Result) error {
	switch r := result.(type) {
	case bfresult.Table:
		return writeTable(w, r)
	case bfresult.Message:
		return writeLine(w, cleanLines(r.Text))
	case bfresult.Progress:
		return writeLine(w, progressText(r))
	case bfresult.Outcome:
		return writeLine(w, outcomeText(r))
	case bfresult.Failure:
		return writeLine(w, failureText(r))
	}
	return &ResultError{Result: result}
}

func writeLine(w io.Writer, text string) error {
	_, err := io.WriteString(w, text+"\n")
	return err
}

func writeTable(w io.Writer, t bfresult.Table) error {
	if err := t.Check(); err != nil {
		return err
	}
	if len(t.Rows) == 0 {
		return writeLine(w, "no rows in "+clean(t.Name))
	}
	const gap = 2
	aligned := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	titles := make([]string, 0, len(t.Columns))
	for _, column := range t.Columns {
		titles = append(titles, clean(strings.ToUpper(column.Name)))
	}
	// The writer keeps everything in memory until Flush, which reports its errors.
	fmt.Fprintln(aligned, strings.Join(titles, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(aligned, rowText(row))
	}
	return aligned.Flush()
}

func rowText(row []bfresult.Cell) string {
	texts := make([]string, 0, len(row))
	for _, cell := range row {
		text := clean(cell.String())
		if text == "" {
			// An empty cell would make its neighbour look like its own.
			text = "-"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "\t")
}

// clean quotes text that a terminal would not show as it is.
//
// Names of tenants and instances come from callers; an escape sequence in one
// could clear an operator's screen or hide a row.
func clean(text string) string {
	unsafe := func(r rune) bool { return !unicode.IsGraphic(r) || r == unicode.ReplacementChar }
	if strings.ContainsFunc(text, unsafe) {
		return strconv.QuoteToGraphic(text)
	}
	return text
}

func cleanLines(text string) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		lines[i] = clean(line)
	}
	return strings.Join(lines, "\n")
}

func progressText(p bfresult.Progress) string {
	text := fmt.Sprintf("%8s  version %d in force on %d of %d nodes", bfresult.FormatDuration(p.Elapsed), p.Version, p.Held, p.Nodes)
	if p.Held < p.Nodes-p.Unreachable {
		text += fmt.Sprintf(", oldest %d", p.Oldest)
	}
	if p.Unreachable > 0 {
		text += fmt.Sprintf(", %d out of reach", p.Unreachable)
	}
	return text
}

func outcomeText(o bfresult.Outcome) string {
	text := clean(string(o.Status)) + ": " + cleanLines(o.Summary)
	if o.RetryAfter > 0 {
		text += "; try again in " + bfresult.FormatDuration(o.RetryAfter)
	}
	if o.ChangeID != "" && !strings.Contains(o.Summary, o.ChangeID) {
		text += " (" + idName(o.Status) + " " + clean(o.ChangeID) + ")"
	}
	return text
}

// idName tells an ID that can be asked for again from one of another change,
// which is found in the list of versions.
func idName(status bfresult.Status) string {
	if status == bfresult.StatusConflict {
		return "change"
	}
	return "id"
}

func failureText(f bfresult.Failure) string {
	text := clean(string(f.Kind)) + ": " + cleanLines(f.Message)
	if f.Column < 1 || f.Excerpt == "" {
		return text
	}
	return text + "\n  " + plain(f.Excerpt) + "\n  " + caretLine(f.Column)
}

// plain replaces what a terminal would not show as one character, so that the
// caret under the line stands at its place.
func plain(line string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsGraphic(r) {
			return r
		}
		return ' '
	}, line)
}

// caretLine is bounded since the column comes from the node's answer.
func caretLine(column int) string {
	const longest = 1000
	return strings.Repeat(" ", min(column, longest)-1) + "^"
}
