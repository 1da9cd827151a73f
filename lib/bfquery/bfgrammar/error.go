package bfgrammar

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"bilberryflow.org/lib/bfconfig"
)

// SyntaxError reports text that is not a valid command.
type SyntaxError struct {
	// Line and Column count from 1; columns count characters.
	Line   int
	Column int
	// Found describes the text at the position.
	Found string
	// Expected describes what is valid at the position.
	Expected string
	// Hint suggests a fix, such as "did you mean where?". It may be empty.
	Hint string
	// Excerpt is the line of the text that holds the error.
	Excerpt string
}

// Error returns the position, the problem and the hint on one line.
func (e *SyntaxError) Error() string {
	text := fmt.Sprintf("line %d, column %d: found %s, expected %s", e.Line, e.Column, e.Found, e.Expected)
	if e.Hint != "" {
		text += "; " + e.Hint
	}
	return text
}

// maxFoundChars is the maximum number of characters quoted in SyntaxError.Found.
const maxFoundChars = 40

func describeFound(text string) string {
	switch runes := []rune(text); {
	case text == "":
		return "the end"
	case text == "\n":
		return "the end of the line"
	case len(runes) > maxFoundChars:
		return fmt.Sprintf("%q", string(runes[:maxFoundChars])+"…")
	}
	return fmt.Sprintf("%q", text)
}

// source is the text being parsed, with its tokens.
type source struct {
	text   string
	tokens []lexer.Token
}

// errorAt returns the error for a position in the text.
func (s source) errorAt(pos lexer.Position, text, expected, hint string) *SyntaxError {
	return &SyntaxError{
		Line: pos.Line, Column: pos.Column, Found: describeFound(text), Expected: expected, Hint: hint,
		Excerpt: s.excerpt(pos.Line),
	}
}

// maxExcerptChars is the maximum number of characters of SyntaxError.Excerpt.
const maxExcerptChars = 1000

func (s source) excerpt(line int) string {
	lines := strings.Split(s.text, "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	text := strings.ToValidUTF8(strings.TrimRight(lines[line-1], "\r"), "\uFFFD")
	if runes := []rune(text); len(runes) > maxExcerptChars {
		return string(runes[:maxExcerptChars])
	}
	return text
}

// syntaxError converts an error of the parser library into a SyntaxError.
func (s source) syntaxError(err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		return s.unexpectedToken(unexpected.Unexpected)
	}
	var positioned participle.Error
	if errors.As(err, &positioned) {
		return s.errorAt(positioned.Position(), "", "a command", positioned.Message())
	}
	return err
}

// unexpectedToken reports an unexpected token with the usage of the command around it.
func (s source) unexpectedToken(token lexer.Token) error {
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

// ofKind restricts the usage of create to one kind of object.
func (u Usage) ofKind(kind string) Usage {
	for _, form := range u.Forms {
		if strings.HasPrefix(form, "create "+kind+" ") {
			u.Forms = []string{form}
		}
	}
	return u
}

// statementBefore returns the tokens of the innermost command that precede the token.
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

// didYouMean suggests the candidate closest to word, or nothing if none is close.
func didYouMean(word string, candidates []string) string {
	const maxDistance = 2
	best, bestDistance := "", maxDistance+1
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

// editDistance returns the Levenshtein distance of a and b in bytes, or an upper
// bound for words much longer than any keyword.
func editDistance(a, b string) int {
	const maxWordBytes = 32
	if len(a) > maxWordBytes || len(b) > maxWordBytes {
		return maxWordBytes
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
