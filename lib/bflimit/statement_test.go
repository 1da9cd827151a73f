package bflimit

import (
	"errors"
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against a malformed limit being taken for another limit, or for none.
func TestStatements(t *testing.T) {
	for _, test := range []struct {
		name   string
		values []string
		want   Statement
	}{
		{"no header", nil, Unlimited{}},
		{"whole", []string{"8"}, PerSecond(8)},
		{"decimal", []string{"7.4"}, PerSecond(7.4)},
		{"nothing", []string{"0"}, PerSecond(0)},
		{"empty", []string{""}, nil},
		{"two values", []string{"8", "9"}, nil},
		{"list", []string{"8, 9"}, nil},
		{"negative", []string{"-1"}, nil},
		{"exponent", []string{"1e3"}, nil},
		{"hexadecimal", []string{"0x10"}, nil},
		{"infinite", []string{"Inf"}, nil},
		{"not a number", []string{"NaN"}, nil},
		{"two points", []string{"1.2.3"}, nil},
		{"unit", []string{"8/s"}, nil},
		{"beyond any target", []string{"99999999999"}, nil},
		{"endless", []string{"1111111111111111111111111111111111111111111111"}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(test.values)
			is.Equal(got, test.want)
			var malformed *StatementError
			is.Equal(errors.As(err, &malformed), test.want == nil)
		})
	}
}

// FuzzParse guards against limits that no limiter can use.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"8", "7.4", "", ".", "1e9", "-0", "Inf"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := Parse([]string{text})
		if limit, ok := statement.(PerSecond); err == nil && (!ok || float64(limit) < 0 || math.IsNaN(float64(limit)) || math.IsInf(float64(limit), 0)) {
			t.Fatalf("%q is the limit %v", text, statement)
		}
	})
}
