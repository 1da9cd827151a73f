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

// ResultError reports a result of an unsupported type.
type ResultError struct{ Result bfresult.Result }

// Error returns the type.
func (e *ResultError) Error() string { return fmt.Sprintf("result of unknown type %T", e.Result) }

// Text writes a result as human-readable text. It returns a *ResultError for a result
// of unknown type, a *bfresult.RowError for an invalid table, or the writer's error.
func Text(w io.Writer, result bfresult.Result) error {
	switch r := result.(type) {
	case bfresult.Table:
		return writeTable(w, r)
	case bfresult.Message:
		return writeLine(w, quoteUnsafeLines(r.Text))
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
		return writeLine(w, "no rows in "+quoteUnsafe(t.Name))
	}
	const padding = 2
	aligned := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	titles := make([]string, 0, len(t.Columns))
	for _, column := range t.Columns {
		titles = append(titles, quoteUnsafe(strings.ToUpper(column.Name)))
	}
	// Errors can be ignored here: the tabwriter buffers its output, and Flush reports them.
	fmt.Fprintln(aligned, strings.Join(titles, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(aligned, rowText(row))
	}
	return aligned.Flush()
}

func rowText(row []bfresult.Cell) string {
	texts := make([]string, 0, len(row))
	for _, cell := range row {
		text := quoteUnsafe(cell.String())
		if text == "" {
			// Keeps the columns distinguishable if a cell is empty.
			text = "-"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "\t")
}

// quoteUnsafe quotes text that contains characters a terminal does not print.
//
// Names of tenants and instances come from callers; escape sequences in them
// could clear an operator's screen or hide a row.
func quoteUnsafe(text string) string {
	unsafe := func(r rune) bool { return !unicode.IsGraphic(r) || r == unicode.ReplacementChar }
	if strings.ContainsFunc(text, unsafe) {
		return strconv.QuoteToGraphic(text)
	}
	return text
}

func quoteUnsafeLines(text string) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		lines[i] = quoteUnsafe(line)
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
	text := quoteUnsafe(string(o.Status)) + ": " + quoteUnsafeLines(o.Summary)
	if o.RetryAfter > 0 {
		text += "; try again in " + bfresult.FormatDuration(o.RetryAfter)
	}
	if o.ChangeID != "" && !strings.Contains(o.Summary, o.ChangeID) {
		text += " (" + idLabel(o.Status) + " " + quoteUnsafe(o.ChangeID) + ")"
	}
	return text
}

// idLabel distinguishes the command's own ID, which can be confirmed again, from the
// ID of the conflicting change, which show versions lists.
func idLabel(status bfresult.Status) string {
	if status == bfresult.StatusConflict {
		return "change"
	}
	return "id"
}

func failureText(f bfresult.Failure) string {
	text := quoteUnsafe(string(f.Kind)) + ": " + quoteUnsafeLines(f.Message)
	if f.Column < 1 || f.Excerpt == "" {
		return text
	}
	return text + "\n  " + replaceNonGraphic(f.Excerpt) + "\n  " + caretLine(f.Column)
}

// replaceNonGraphic replaces characters that a terminal does not print with spaces, so
// that the caret below the line is aligned.
func replaceNonGraphic(line string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsGraphic(r) {
			return r
		}
		return ' '
	}, line)
}

// caretLine marks a column. The column comes from the node's response and is limited,
// so that an invalid one can't produce unbounded output.
func caretLine(column int) string {
	const maxColumn = 1000
	return strings.Repeat(" ", min(column, maxColumn)-1) + "^"
}
