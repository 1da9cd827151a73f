package bfgrammar

import (
	"strings"
	"testing"
)

// BenchmarkParse parses a typical request and the most expensive requests within maxTextBytes.
func BenchmarkParse(b *testing.B) {
	for name, text := range map[string]string{
		"show":   `show policies where idempotent = no and (deadline > 2s or class ~ "^order") order by deadline desc limit 10`,
		"help":   strings.Repeat("help;", maxTextBytes/5),
		"edits":  "stage x {" + strings.Repeat("remove route a;", maxTextBytes/15-1) + "}",
		"parens": "show routes where " + strings.Repeat("(", maxTextBytes-100),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Parse(text)
			}
		})
	}
}
