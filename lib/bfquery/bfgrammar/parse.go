package bfgrammar

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

const (
	// maxTextBytes is the maximum size of a request's text. Parsing allocates
	// about a thousand times that, half the 128 MB of a node; an event with a
	// thousand overrides takes about 40 KB.
	maxTextBytes = 64 << 10
	// maxDepth is the maximum nesting of parentheses. The parser recurses into
	// each one: 64 KiB of "(" would take 256 MB of stack, twice the memory of a
	// node, and 256 KiB would end the process with a stack overflow, which
	// recover can't catch.
	maxDepth = 64
	// maxNameBytes is the maximum length of a staged change's name.
	maxNameBytes = 64
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
)

// Parse parses the commands in text. Its error is a *SyntaxError.
func Parse(text string) ([]bfsyntax.Command, error) {
	if len(text) > maxTextBytes {
		hint := fmt.Sprintf("send at most %d KiB at a time", maxTextBytes>>10)
		return nil, &SyntaxError{Line: 1, Column: 1, Found: "a text too long", Expected: "less", Hint: hint}
	}
	src := source{text: text}
	list, err := parser.Lex("", strings.NewReader(text))
	if err != nil {
		return nil, src.syntaxError(err)
	}
	src.tokens = withTerminators(list)
	if err := src.checkDepth(); err != nil {
		return nil, err
	}
	script, err := src.parse()
	if err != nil {
		return nil, src.syntaxError(err)
	}
	commands := make([]bfsyntax.Command, 0, len(script.Commands))
	for _, node := range script.Commands {
		r := &resolver{source: src}
		command := r.command(node)
		if r.err != nil {
			return nil, r.err
		}
		commands = append(commands, command)
	}
	return commands, nil
}

func (s source) parse() (*scriptNode, error) {
	lex, err := lexer.Upgrade(&tokenStream{rest: s.tokens})
	if err != nil {
		return nil, err
	}
	return parser.ParseFromLexer(lex)
}

func (s source) checkDepth() error {
	depth := 0
	for _, token := range s.tokens {
		switch token.Value {
		case "(":
			depth++
		case ")":
			depth--
		}
		if depth > maxDepth {
			expected := fmt.Sprintf("at most %d open parentheses", maxDepth)
			return s.errorAt(token.Pos, token.Value, expected, "")
		}
	}
	return nil
}

// resolver converts syntax tree nodes into commands and records the first error.
type resolver struct {
	source
	err error
}

func (r *resolver) fail(pos lexer.Position, text, expected, hint string) {
	if r.err == nil {
		r.err = r.errorAt(pos, text, expected, hint)
	}
}

// text returns the unquoted value, or the empty string for a nil node.
func (r *resolver) text(node *valueNode) string {
	if node == nil {
		return ""
	}
	if !strings.HasPrefix(node.Text, `"`) {
		return node.Text
	}
	text, err := strconv.Unquote(node.Text)
	if err != nil {
		r.fail(node.Pos, node.Text, `a string with escapes such as \" and \\`, "")
	}
	return text
}

// requiredText returns the unquoted value and fails if it is empty.
func (r *resolver) requiredText(node *valueNode) string {
	text := r.text(node)
	if text == "" {
		r.fail(node.Pos, node.Text, "a value that is not empty", "")
	}
	return text
}

func (r *resolver) stagedName(node *valueNode) string {
	text := r.text(node)
	if len(text) > maxNameBytes || !namePattern.MatchString(text) {
		r.fail(node.Pos, node.Text, "a name of 1 to 64 of a-z, 0-9 and inner hyphens", "")
	}
	return text
}

// cell parses the value as a cell of type t.
func (r *resolver) cell(t bfresult.ColumnType, node *valueNode) bfresult.Cell {
	cell, err := bfresult.ParseCell(t, r.text(node))
	if err != nil {
		r.fail(node.Pos, node.Text, typeDescriptions[t], "")
	}
	return cell
}

var typeDescriptions = map[bfresult.ColumnType]string{
	bfresult.TypeNumber:   "a whole number",
	bfresult.TypePercent:  "a percentage such as 10%",
	bfresult.TypeDuration: "a duration such as 150ms or 20s",
	bfresult.TypeTime:     "a time such as 2026-12-24T16:00:00Z",
	bfresult.TypeFlag:     "yes or no",
}

func (r *resolver) number(node *valueNode) int {
	n, _ := r.cell(bfresult.TypeNumber, node).(bfresult.NumberCell)
	return int(n)
}

func (r *resolver) percent(node *valueNode) int {
	n, _ := r.cell(bfresult.TypePercent, node).(bfresult.PercentCell)
	return int(n)
}

func (r *resolver) duration(node *valueNode) time.Duration {
	d, _ := r.cell(bfresult.TypeDuration, node).(bfresult.DurationCell)
	return time.Duration(d)
}

func (r *resolver) time(node *valueNode) time.Time {
	at, _ := r.cell(bfresult.TypeTime, node).(bfresult.TimeCell)
	return time.Time(at)
}

// positiveNumber parses a number of at least 1. It returns 0 for a nil node.
func (r *resolver) positiveNumber(node *valueNode) int {
	if node == nil {
		return 0
	}
	n := r.number(node)
	if n < 1 {
		r.fail(node.Pos, node.Text, "a whole number from 1 on", "")
	}
	return n
}

func (r *resolver) ref(node *refNode) bfconfig.Ref {
	return bfconfig.Ref{Kind: bfconfig.Kind(node.Kind), Name: r.requiredText(node.Name)}
}

// command converts a node, in which the parser has set exactly one field.
func (r *resolver) command(node *commandNode) bfsyntax.Command {
	switch {
	case node.Stage != nil:
		return r.stage(node.Stage)
	case node.Show != nil:
		return r.show(node.Show)
	case node.Diff != nil:
		return bfsyntax.Diff{Name: r.stagedName(node.Diff)}
	case node.Confirm != nil:
		return r.confirm(node.Confirm)
	case node.Discard != nil:
		return bfsyntax.Discard{Name: r.stagedName(node.Discard)}
	case node.InForce != nil:
		return bfsyntax.InForce{Scope: r.scope(node.InForce.Scope)}
	case node.Explain != nil:
		return r.explainCommand(node.Explain)
	case node.History != nil:
		return bfsyntax.History{Object: r.ref(node.History.Object), Limit: r.positiveNumber(node.History.Limit)}
	case node.Undo != nil:
		return r.undo(node.Undo)
	case node.Drain != nil:
		return bfsyntax.Drain{Instance: r.requiredText(node.Drain)}
	case node.Release != nil:
		return bfsyntax.Release{Content: r.requiredText(node.Release)}
	case node.Watch != nil:
		return r.watch(node.Watch)
	}
	return r.help(node.Help)
}

func (r *resolver) confirm(node *confirmNode) bfsyntax.Command {
	confirm := bfsyntax.Confirm{Name: r.stagedName(node.Name)}
	if node.ChangeID == nil {
		return confirm
	}
	confirm.ChangeID = r.text(node.ChangeID)
	if !changeIDPattern.MatchString(confirm.ChangeID) {
		r.fail(node.ChangeID.Pos, node.ChangeID.Text, "a change ID of 1 to 64 letters, digits and inner . _ -", "")
	}
	return confirm
}

func (r *resolver) scope(node *scopeNode) bfsyntax.Scope {
	switch {
	case node == nil || node.Everywhere:
		return bfsyntax.Everywhere{}
	case node.Node != nil:
		return bfsyntax.AtNode{Instance: r.requiredText(node.Node)}
	case node.Part.Kind == "domain":
		return bfsyntax.InDomain{Domain: r.requiredText(node.Part.Name)}
	}
	return bfsyntax.InRegion{Region: r.requiredText(node.Part.Name)}
}

func (r *resolver) explainCommand(node *explainNode) bfsyntax.Command {
	explain := bfsyntax.Explain{Method: r.requiredText(node.Method), Path: r.requiredText(node.Path)}
	if !strings.HasPrefix(explain.Path, "/") {
		r.fail(node.Path.Pos, node.Path.Text, "a path that starts with /", "")
	}
	if node.Tenant != nil {
		explain.Tenant = r.requiredText(node.Tenant)
	}
	if node.At != nil {
		explain.At = r.time(node.At)
	}
	return explain
}

func (r *resolver) undo(node *undoNode) bfsyntax.Command {
	undo := bfsyntax.Undo{Version: bfconfig.Version(r.positiveNumber(node.Version))}
	if node.Name != nil {
		undo.Name = r.stagedName(node.Name)
	}
	return undo
}

func (r *resolver) watch(node *watchNode) bfsyntax.Command {
	watch := bfsyntax.Watch{}
	if node.Version.Text != "latest" {
		watch.Version = bfconfig.Version(r.positiveNumber(node.Version))
	}
	if node.For == nil {
		return watch
	}
	if watch.For = r.duration(node.For); watch.For <= 0 {
		r.fail(node.For.Pos, node.For.Text, "a duration above zero", "")
	}
	return watch
}

func (r *resolver) help(node *helpNode) bfsyntax.Command {
	if node.Topic == nil {
		return bfsyntax.Help{}
	}
	topic := r.text(node.Topic)
	if _, found := usageOf(topic); !found {
		r.fail(node.Topic.Pos, node.Topic.Text, "the first word of a command", commandHint(topic))
	}
	return bfsyntax.Help{Topic: topic}
}
