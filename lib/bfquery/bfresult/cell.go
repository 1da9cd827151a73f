package bfresult

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ColumnType is the type of every cell in a column.
type ColumnType string

// The column types.
const (
	TypeText     ColumnType = "text"
	TypeNumber   ColumnType = "number"
	TypePercent  ColumnType = "percent"
	TypeDuration ColumnType = "duration"
	TypeTime     ColumnType = "time"
	TypeFlag     ColumnType = "flag"
	TypeList     ColumnType = "list"
)

// Cell is the sealed set of values in a table.
type Cell interface {
	// Type is the type of the columns that may hold the cell.
	Type() ColumnType
	// String formats the cell as in tables and commands.
	String() string
}

// TextCell is a name or a sentence.
type TextCell string

// NumberCell is a count or a version.
type NumberCell int64

// PercentCell is a percentage.
type PercentCell int64

// DurationCell is a duration.
type DurationCell time.Duration

// TimeCell is a point in time; the zero time means none.
type TimeCell time.Time

// FlagCell is a boolean, shown as yes or no.
type FlagCell bool

// ListCell is a list of names.
type ListCell []string

// Type returns TypeText.
func (c TextCell) Type() ColumnType { return TypeText }

// Type returns TypeNumber.
func (c NumberCell) Type() ColumnType { return TypeNumber }

// Type returns TypePercent.
func (c PercentCell) Type() ColumnType { return TypePercent }

// Type returns TypeDuration.
func (c DurationCell) Type() ColumnType { return TypeDuration }

// Type returns TypeTime.
func (c TimeCell) Type() ColumnType { return TypeTime }

// Type returns TypeFlag.
func (c FlagCell) Type() ColumnType { return TypeFlag }

// Type returns TypeList.
func (c ListCell) Type() ColumnType { return TypeList }

// String returns the text.
func (c TextCell) String() string { return string(c) }

// String returns the number in decimal.
func (c NumberCell) String() string { return strconv.FormatInt(int64(c), 10) }

// String returns the number with a percent sign.
func (c PercentCell) String() string { return strconv.FormatInt(int64(c), 10) + "%" }

// String formats the duration with FormatDuration.
func (c DurationCell) String() string { return FormatDuration(time.Duration(c)) }

// String formats the time as RFC 3339 in UTC, the zero time as the empty string.
func (c TimeCell) String() string {
	if time.Time(c).IsZero() {
		return ""
	}
	return time.Time(c).UTC().Format(time.RFC3339Nano)
}

// String returns yes or no.
func (c FlagCell) String() string {
	if c {
		return "yes"
	}
	return "no"
}

// String joins the names with commas.
func (c ListCell) String() string { return strings.Join(c, ", ") }

// FormatDuration formats d like time.Duration, without trailing zero units: 20s, 10m, 1h30m.
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// ValueError reports text that can't be parsed as a value of a column type.
type ValueError struct {
	Text    string
	Allowed string
}

// Error returns the text and the allowed form.
func (e *ValueError) Error() string { return fmt.Sprintf("%q is not %s", e.Text, e.Allowed) }

// ParseCell parses a cell of type t from its String form; a list from a single
// name. Its error is a *ValueError.
func ParseCell(t ColumnType, text string) (Cell, error) {
	switch t {
	case TypeText:
		return TextCell(text), nil
	case TypeNumber:
		n, err := strconv.ParseInt(text, 10, 64)
		return cellOrError(NumberCell(n), err, text, "a whole number")
	case TypePercent:
		n, err := strconv.ParseInt(strings.TrimSuffix(text, "%"), 10, 64)
		return cellOrError(PercentCell(n), err, text, "a percentage such as 10%")
	case TypeDuration:
		d, err := time.ParseDuration(text)
		return cellOrError(DurationCell(d), err, text, "a duration such as 150ms or 20s")
	case TypeTime:
		at, err := time.Parse(time.RFC3339, text)
		return cellOrError(TimeCell(at.UTC()), err, text, "a time such as 2026-12-24T16:00:00Z")
	case TypeFlag:
		return parseFlag(text)
	case TypeList:
		return ListCell{text}, nil
	}
	return nil, &ValueError{Text: text, Allowed: "of a known type"}
}

func cellOrError(cell Cell, err error, text, allowed string) (Cell, error) {
	if err != nil {
		return nil, &ValueError{Text: text, Allowed: allowed}
	}
	return cell, nil
}

func parseFlag(text string) (Cell, error) {
	switch text {
	case "yes", "true":
		return FlagCell(true), nil
	case "no", "false":
		return FlagCell(false), nil
	}
	return nil, &ValueError{Text: text, Allowed: "yes or no"}
}

// Compare orders two cells of the same type by value, and others by their type name.
func Compare(a, b Cell) int {
	switch x := a.(type) {
	case NumberCell:
		if y, same := b.(NumberCell); same {
			return cmp.Compare(x, y)
		}
	case PercentCell:
		if y, same := b.(PercentCell); same {
			return cmp.Compare(x, y)
		}
	case DurationCell:
		if y, same := b.(DurationCell); same {
			return cmp.Compare(x, y)
		}
	case TimeCell:
		if y, same := b.(TimeCell); same {
			return time.Time(x).Compare(time.Time(y))
		}
	case TextCell, FlagCell, ListCell:
		// "no" sorts before "yes", as text does.
		if a.Type() == b.Type() {
			return cmp.Compare(a.String(), b.String())
		}
	}
	return cmp.Compare(a.Type(), b.Type())
}
