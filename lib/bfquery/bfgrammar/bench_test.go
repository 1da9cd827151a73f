package bfgrammar

import (
	"strings"
	"testing"
)

// What a request costs a node: an ordinary one, and the worst that fit the limit.
func BenchmarkParse(b *testing.B) {
	for name, text := range map[string]string{
		"show":   `show policies where idempotent = no and (deadline > 2s or class ~ "^order") order by deadline desc limit 10`,
		"help":   strings.Repeat("help;", maxText/5),
		"edits":  "stage x {" + strings.Repeat("remove route a;", maxText/15-1) + "}",
		"parens": "show routes where " + strings.Repeat("(", maxText-100),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Parse(text)
			}
		})
	}
}
