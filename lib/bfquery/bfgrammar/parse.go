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
	// maxText bounds the text of a request. Parsing allocates about a thousand
	// times its size, and a node has 128 MB; the largest honest request, an
	// event with a thousand overrides, takes some forty bytes for each.
	maxText = 64 << 10
	// maxDepth bounds parentheses, for the parser recurses into each one. A text
	// of nothing but "(" would take 256 MB of stack at 64 KiB, twice the memory
	// of a node, and at 256 KiB end the process with a stack overflow, which no
	// recover can catch. 64 are far more than a person reads.
	maxDepth = 64
	// maxName is the longest name of a staged change.
	maxName = 64
)

var (
	nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	idForm   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
)

// Parse reads the commands of text; its error is a SyntaxError.
func Parse(text string) ([]bfsyntax.Command, error) {
	if len(text) > maxText {
		hint := fmt.Sprintf("send at most %d KiB at a time", maxText>>10)
		return nil, &SyntaxError{Line: 1, Column: 1, Found: "a text too long", Expected: "less", Hint: hint}
	}
	src := source{text: text}
	list, err := parser.Lex("", strings.NewReader(text))
	if err != nil {
		return nil, src.explain(err)
	}
	src.tokens = withTerminators(list)
	if err := src.checkDepth(); err != nil {
		return nil, err
	}
	script, err := src.parse()
	if err != nil {
		return nil, src.explain(err)
	}
	commands := make([]bfsyntax.Command, 0, len(script.Commands))
	for _, node := range script.Commands {
		r := &reader{source: src}
		command := r.command(node)
		if r.err != nil {
			return nil, r.err
		}
		commands = append(commands, command)
	}
	return commands, nil
}

func (s source) parse() (*scriptNode, error) {
	lex, err := lexer.Upgrade(&tokenList{rest: s.tokens})
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

// reader turns nodes into commands and keeps the first error.
type reader struct {
	source
	err error
}

func (r *reader) fail(pos lexer.Position, text, expected, hint string) {
	if r.err == nil {
		r.err = r.errorAt(pos, text, expected, hint)
	}
}

// text is the value without quotes; a node that is absent has none.
func (r *reader) text(node *valueNode) string {
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

// required is a value that may not be empty.
func (r *reader) required(node *valueNode) string {
	text := r.text(node)
	if text == "" {
		r.fail(node.Pos, node.Text, "a value that is not empty", "")
	}
	return text
}

func (r *reader) stagedName(node *valueNode) string {
	text := r.text(node)
	if len(text) > maxName || !nameForm.MatchString(text) {
		r.fail(node.Pos, node.Text, "a name of 1 to 64 of a-z, 0-9 and inner hyphens", "")
	}
	return text
}

// cell reads a value of the type.
func (r *reader) cell(t bfresult.ColumnType, node *valueNode) bfresult.Cell {
	cell, err := bfresult.ParseCell(t, r.text(node))
	if err != nil {
		r.fail(node.Pos, node.Text, valueForms[t], "")
	}
	return cell
}

var valueForms = map[bfresult.ColumnType]string{
	bfresult.TypeNumber:   "a whole number",
	bfresult.TypePercent:  "a percentage such as 10%",
	bfresult.TypeDuration: "a duration such as 150ms or 20s",
	bfresult.TypeTime:     "a time such as 2026-12-24T16:00:00Z",
	bfresult.TypeFlag:     "yes or no",
}

func (r *reader) number(node *valueNode) int {
	n, _ := r.cell(bfresult.TypeNumber, node).(bfresult.NumberCell)
	return int(n)
}

func (r *reader) percent(node *valueNode) int {
	n, _ := r.cell(bfresult.TypePercent, node).(bfresult.PercentCell)
	return int(n)
}

func (r *reader) duration(node *valueNode) time.Duration {
	d, _ := r.cell(bfresult.TypeDuration, node).(bfresult.DurationCell)
	return time.Duration(d)
}

func (r *reader) time(node *valueNode) time.Time {
	at, _ := r.cell(bfresult.TypeTime, node).(bfresult.TimeCell)
	return time.Time(at)
}

// positive reads a number from 1 on, or 0 where there is none.
func (r *reader) positive(node *valueNode) int {
	if node == nil {
		return 0
	}
	n := r.number(node)
	if n < 1 {
		r.fail(node.Pos, node.Text, "a whole number from 1 on", "")
	}
	return n
}

func (r *reader) ref(node *refNode) bfconfig.Ref {
	return bfconfig.Ref{Kind: bfconfig.Kind(node.Kind), Name: r.required(node.Name)}
}

// command turns a node, in which the grammar set exactly one field, into its command.
func (r *reader) command(node *commandNode) bfsyntax.Command {
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
		return bfsyntax.History{Object: r.ref(node.History.Object), Limit: r.positive(node.History.Limit)}
	case node.Undo != nil:
		return r.undo(node.Undo)
	case node.Drain != nil:
		return bfsyntax.Drain{Instance: r.required(node.Drain)}
	case node.Release != nil:
		return bfsyntax.Release{Content: r.required(node.Release)}
	case node.Watch != nil:
		return r.watch(node.Watch)
	}
	return r.help(node.Help)
}

func (r *reader) confirm(node *confirmNode) bfsyntax.Command {
	confirm := bfsyntax.Confirm{Name: r.stagedName(node.Name)}
	if node.ChangeID == nil {
		return confirm
	}
	confirm.ChangeID = r.text(node.ChangeID)
	if !idForm.MatchString(confirm.ChangeID) {
		r.fail(node.ChangeID.Pos, node.ChangeID.Text, "a change ID of 1 to 64 letters, digits and inner . _ -", "")
	}
	return confirm
}

func (r *reader) scope(node *scopeNode) bfsyntax.Scope {
	switch {
	case node == nil || node.Everywhere:
		return bfsyntax.Everywhere{}
	case node.Node != nil:
		return bfsyntax.AtNode{Instance: r.required(node.Node)}
	case node.Part.Kind == "domain":
		return bfsyntax.InDomain{Domain: r.required(node.Part.Name)}
	}
	return bfsyntax.InRegion{Region: r.required(node.Part.Name)}
}

func (r *reader) explainCommand(node *explainNode) bfsyntax.Command {
	explain := bfsyntax.Explain{Method: r.required(node.Method), Path: r.required(node.Path)}
	if !strings.HasPrefix(explain.Path, "/") {
		r.fail(node.Path.Pos, node.Path.Text, "a path that starts with /", "")
	}
	if node.Tenant != nil {
		explain.Tenant = r.required(node.Tenant)
	}
	if node.At != nil {
		explain.At = r.time(node.At)
	}
	return explain
}

func (r *reader) undo(node *undoNode) bfsyntax.Command {
	undo := bfsyntax.Undo{Version: bfconfig.Version(r.positive(node.Version))}
	if node.Name != nil {
		undo.Name = r.stagedName(node.Name)
	}
	return undo
}

func (r *reader) watch(node *watchNode) bfsyntax.Command {
	watch := bfsyntax.Watch{}
	if node.Version.Text != "latest" {
		watch.Version = bfconfig.Version(r.positive(node.Version))
	}
	if node.For == nil {
		return watch
	}
	if watch.For = r.duration(node.For); watch.For <= 0 {
		r.fail(node.For.Pos, node.For.Text, "a duration above zero", "")
	}
	return watch
}

func (r *reader) help(node *helpNode) bfsyntax.Command {
	if node.Topic == nil {
		return bfsyntax.Help{}
	}
	topic := r.text(node.Topic)
	if _, found := usageOf(topic); !found {
		r.fail(node.Topic.Pos, node.Topic.Text, "the first word of a command", commandHint(topic))
	}
	return bfsyntax.Help{Topic: topic}
}
