package bflimit

import (
	"fmt"
	"strconv"
	"strings"
)

// Statement is what an answer of a target says about its limit: Unlimited or PerSecond.
type Statement interface {
	// String returns the statement for logs.
	String() string
	statement()
}

// Unlimited means that the answer names no limit.
type Unlimited struct{}

// PerSecond is a limit in requests per second, of all nodes together.
type PerSecond float64

func (Unlimited) statement() {}
func (PerSecond) statement() {}

// String returns "unlimited".
func (Unlimited) String() string { return "unlimited" }

// String returns the number of requests per second.
func (p PerSecond) String() string {
	return strconv.FormatFloat(float64(p), 'f', -1, 64) + " per second"
}

// StatementError reports a limit that can't be read.
type StatementError struct{ Values []string }

// Error includes what the answer says.
func (e *StatementError) Error() string {
	return fmt.Sprintf("limit %q is not a number of requests per second", strings.Join(e.Values, ", "))
}

const (
	// maxPerSecond is the largest limit that is accepted, far above what a target can do.
	maxPerSecond = 1e9
	// maxDigits bounds the length of a limit's text.
	maxDigits = 32
)

// Parse returns the statement of an answer from the values of its header, which may be missing. It
// returns a StatementError if the header has another form than one decimal number.
func Parse(values []string) (Statement, error) {
	if len(values) == 0 {
		return Unlimited{}, nil
	}
	if len(values) > 1 || len(values[0]) > maxDigits || strings.Trim(values[0], "0123456789.") != "" {
		return nil, &StatementError{Values: values}
	}
	number, err := strconv.ParseFloat(values[0], 64)
	if err != nil || number > maxPerSecond {
		return nil, &StatementError{Values: values}
	}
	return PerSecond(number), nil
}
