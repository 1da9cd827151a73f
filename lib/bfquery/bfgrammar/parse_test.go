package bfgrammar

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfquery/bfsyntax"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The golden file holds the canonical text of each case's commands, or the
// syntax error with its position.
func TestParseGolden(t *testing.T) {
	is := is.New(t)
	cases, err := os.ReadFile("testdata/parse.txt")
	is.NoErr(err)
	var got strings.Builder
	for _, text := range strings.Split(string(cases), "\n---\n") {
		got.WriteString(text + "\n==>\n" + parseOutput(text) + "\n----------\n")
	}
	const golden = "testdata/parse.golden"
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}

func parseOutput(text string) string {
	commands, err := Parse(text)
	var syntax *SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error() + "\n  " + syntax.Excerpt
	}
	lines := []string{}
	for _, command := range commands {
		lines = append(lines, command.String())
	}
	return strings.Join(lines, "\n")
}

// A printed command must parse to the same command, or a copied text would
// change the wrong object. Generated names contain quotes, spaces and keywords.
func TestCommandTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		commands := rapid.SliceOfN(commandGenerator(), 1, 3).Draw(t, "commands")
		texts := []string{}
		for _, command := range commands {
			texts = append(texts, command.String())
		}
		separator := rapid.SampledFrom([]string{"; ", "\n", " # comment\n"}).Draw(t, "separator")
		text := strings.Join(texts, separator)
		parsed, err := Parse(text)
		if err != nil {
			t.Fatalf("%s\n%v", text, err)
		}
		is := is.New(t)
		is.Equal(parsed, commands)
	})
}

// A panic or unbounded recursion in the parser would crash the node, so no input
// may cause one.
func TestParseArbitraryText(t *testing.T) {
	words := []string{"(", ")", "{", "}", ",", ";", "\n", "\"", "=", "~", "not", "and", "#", "\\", "\x00", "é", "none", "any", "yes"}
	for _, usage := range Usages() {
		words = append(words, usage.keywords()...)
		words = append(words, strings.Fields(usage.Example)...)
	}
	rapid.Check(t, func(t *rapid.T) {
		sample := rapid.SliceOfN(rapid.SampledFrom(words), 0, 40).Draw(t, "words")
		checkText(t, strings.Join(sample, rapid.SampledFrom([]string{" ", ""}).Draw(t, "space")))
	})
}

func FuzzParse(f *testing.F) {
	for _, usage := range Usages() {
		f.Add(usage.Example)
	}
	f.Add("show routes where (((name = \"\xff\\u0000\"")
	f.Fuzz(func(t *testing.T, text string) { checkText(t, text) })
}

// checkText requires a positioned SyntaxError, or commands whose canonical text is stable.
func checkText(t interface{ Fatalf(string, ...any) }, text string) {
	commands, err := Parse(text)
	var syntax *SyntaxError
	if err != nil {
		if !errors.As(err, &syntax) || syntax.Line < 1 || syntax.Column < 1 {
			t.Fatalf("%q: %#v", text, err)
		}
		return
	}
	for _, command := range commands {
		again, err := Parse(command.String())
		if err != nil || len(again) != 1 || again[0].String() != command.String() {
			t.Fatalf("%q: %q became %v, %v", text, command, again, err)
		}
	}
}

// Unbounded nesting of parentheses would overflow the stack of the recursive
// parser and crash the node.
func TestDeepParenthesesAreRefused(t *testing.T) {
	is := is.New(t)
	text := "show routes where " + strings.Repeat("(", maxTextBytes-100)
	_, err := Parse(text)
	var syntax *SyntaxError
	is.True(errors.As(err, &syntax))
	is.Equal(syntax.Expected, "at most 64 open parentheses")
	_, err = Parse("show routes where " + strings.Repeat("(", maxDepth) + "name = a" + strings.Repeat(")", maxDepth))
	is.NoErr(err)
	_, err = Parse(strings.Repeat(" ", maxTextBytes+1))
	is.True(errors.As(err, &syntax))
}

// Every example in docs/LANGUAGE.md must parse, and every form and table of the
// language must be documented there.
func TestLanguageReference(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../docs/LANGUAGE.md")
	is.NoErr(err)
	reference := string(data)
	for i, block := range strings.Split(reference, "```") {
		text, isExample := strings.CutPrefix(block, "bilberry\n")
		if i%2 == 0 || !isExample {
			continue
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("%s\n%v", text, err)
		}
	}
	for _, usage := range Usages() {
		for _, form := range usage.Forms {
			if !strings.Contains(reference, form) {
				t.Errorf("form is not in docs/LANGUAGE.md: %s", form)
			}
		}
	}
	for _, table := range bfsyntax.TableNames() {
		if row := "| " + string(table) + " | " + strings.Join(bfsyntax.ColumnNames(table), ", ") + " |"; !strings.Contains(reference, row) {
			t.Errorf("table is not in docs/LANGUAGE.md: %s", row)
		}
	}
}
