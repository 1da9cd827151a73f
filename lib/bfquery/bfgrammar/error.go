package bfgrammar

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"bilberryflow.org/lib/bfconfig"
)

// SyntaxError reports text that is not in the language.
type SyntaxError struct {
	// Line and Column count from 1; a column is one character.
	Line   int
	Column int
	// Found is the text at the place.
	Found string
	// Expected says what could stand there.
	Expected string
	// Hint is a remedy, such as "did you mean where?"; it may be empty.
	Hint string
	// Excerpt is the line of the text.
	Excerpt string
}

// Error is one line with the place.
func (e *SyntaxError) Error() string {
	text := fmt.Sprintf("line %d, column %d: found %s, expected %s", e.Line, e.Column, e.Found, e.Expected)
	if e.Hint != "" {
		text += "; " + e.Hint
	}
	return text
}

// longestFound bounds the part of the text that an error repeats.
const longestFound = 40

func found(text string) string {
	switch runes := []rune(text); {
	case text == "":
		return "the end"
	case text == "\n":
		return "the end of the line"
	case len(runes) > longestFound:
		return fmt.Sprintf("%q", string(runes[:longestFound])+"…")
	}
	return fmt.Sprintf("%q", text)
}

// source is the text being parsed, with its tokens.
type source struct {
	text   string
	tokens []lexer.Token
}

// errorAt makes the error for a place in the text.
func (s source) errorAt(pos lexer.Position, text, expected, hint string) *SyntaxError {
	return &SyntaxError{
		Line: pos.Line, Column: pos.Column, Found: found(text), Expected: expected, Hint: hint,
		Excerpt: s.excerpt(pos.Line),
	}
}

// longestExcerpt bounds what an error carries of the text.
const longestExcerpt = 1000

func (s source) excerpt(line int) string {
	lines := strings.Split(s.text, "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	text := strings.ToValidUTF8(strings.TrimRight(lines[line-1], "\r"), "\uFFFD")
	if runes := []rune(text); len(runes) > longestExcerpt {
		return string(runes[:longestExcerpt])
	}
	return text
}

// explain turns the parser's error into one that speaks the operators' language.
func (s source) explain(err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		return s.unexpected(unexpected.Unexpected)
	}
	var positioned participle.Error
	if errors.As(err, &positioned) {
		return s.errorAt(positioned.Position(), "", "a command", positioned.Message())
	}
	return err
}

// unexpected tells by the command around the token what it should have been.
func (s source) unexpected(token lexer.Token) error {
	if strings.HasPrefix(token.Value, `"`) && token.Type == tokenTypes["Unknown"] {
		return s.errorAt(token.Pos, token.Value, `a quote at the end of the string, on the same line`, "")
	}
	statement := s.statementBefore(token)
	if len(statement) == 0 {
		return s.errorAt(token.Pos, token.Value, "a command", commandHint(token.Value))
	}
	usage, known := usageOf(statement[0].Value)
	if !known {
		return s.errorAt(token.Pos, token.Value, "a command", commandHint(statement[0].Value))
	}
	if usage.Name == "create" && len(statement) > 1 {
		usage = usage.ofKind(statement[1].Value)
	}
	words := usage.keywords()
	for _, kind := range bfconfig.Kinds() {
		words = append(words, string(kind))
	}
	if usage.Name == "change" {
		create, _ := usageOf("create")
		words = append(words, create.keywords()...)
	}
	return s.errorAt(token.Pos, token.Value, strings.Join(usage.Forms, " | "), didYouMean(token.Value, words))
}

// ofKind narrows the help on create to one kind of object.
func (u Usage) ofKind(kind string) Usage {
	for _, form := range u.Forms {
		if strings.HasPrefix(form, "create "+kind+" ") {
			u.Forms = []string{form}
		}
	}
	return u
}

// statementBefore is the part of the innermost command that stands before the token.
func (s source) statementBefore(token lexer.Token) []lexer.Token {
	start, end := 0, 0
	for i, t := range s.tokens {
		if t.Pos.Offset >= token.Pos.Offset {
			break
		}
		end = i + 1
		if t.Type == tokenTypes["Terminator"] || t.Value == "{" {
			start = i + 1
		}
	}
	statement := s.tokens[start:end]
	if len(statement) > 2 && statement[0].Value == "stage" {
		return statement[2:]
	}
	return statement
}

func commandHint(word string) string {
	switch word {
	case "create", "change", "remove":
		return fmt.Sprintf("edits are staged first: stage NAME %s …", word)
	}
	var names []string
	for _, usage := range Usages() {
		names = append(names, usage.Name)
	}
	return didYouMean(word, names)
}

// didYouMean names the candidate nearest to word, if one is near.
func didYouMean(word string, candidates []string) string {
	const farthest = 2
	best, bestDistance := "", farthest+1
	for _, candidate := range candidates {
		distance := editDistance(word, candidate)
		if distance < bestDistance && distance < len(candidate)-1 {
			best, bestDistance = candidate, distance
		}
	}
	if best == "" || bestDistance == 0 {
		return ""
	}
	return fmt.Sprintf("did you mean %s?", best)
}

// editDistance counts insertions, deletions and replacements of bytes; words
// too long to be near any keyword are not measured.
func editDistance(a, b string) int {
	const longest = 32
	if len(a) > longest || len(b) > longest {
		return longest
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
