package bfsyntax

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"bilberryflow.org/lib/bfquery/bfresult"
)

// plainWord matches text that needs no quotes; the lexer accepts more.
var plainWord = regexp.MustCompile(`^[A-Za-z0-9_./:+%*@-]+$`)

// quote formats text so that it parses as a single value.
//
// "none" and "any" are quoted too, since the parser reads them as an empty list
// of overrides or methods.
func quote(text string) string {
	if plainWord.MatchString(text) && text != "none" && text != "any" {
		return text
	}
	return strconv.Quote(text)
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }

// String returns the canonical text.
func (c Stage) String() string {
	edits := make([]string, 0, len(c.Edits))
	for _, edit := range c.Edits {
		edits = append(edits, edit.String())
	}
	if len(edits) == 1 {
		return "stage " + quote(c.Name) + " " + edits[0]
	}
	return "stage " + quote(c.Name) + " { " + strings.Join(edits, "; ") + " }"
}

// String returns the canonical text.
func (e Create) String() string { return objectText("create", e.Name, e.Fields) }

// String returns the canonical text.
func (e Change) String() string { return objectText("change", e.Name, e.Fields) }

// String returns the canonical text.
func (e Remove) String() string {
	return fmt.Sprintf("remove %s %s", e.Object.Kind, quote(e.Object.Name))
}

func objectText(verb, name string, fields Fields) string {
	text := fmt.Sprintf("%s %s %s", verb, fields.Kind(), quote(name))
	for _, s := range fields.Settings() {
		text += " " + s.Field + " " + s.Value
	}
	return text
}

// String returns the canonical text.
func (c Show) String() string {
	text := "show " + string(c.Table)
	if c.Where != nil {
		text += " where " + conditionText(c.Where)
	}
	if c.Order != nil {
		text += " order by " + c.Order.Column
		if c.Order.Descending {
			text += " desc"
		}
	}
	return text + optionalClause("limit", c.Limit)
}

func optionalClause(keyword string, n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf(" %s %d", keyword, n)
}

func conditionText(condition Condition) string {
	switch c := condition.(type) {
	case And:
		return joinTerms(c.Terms, " and ")
	case Or:
		return joinTerms(c.Terms, " or ")
	case Not:
		return "not " + termText(c.Term)
	case Comparison:
		return c.Column + " " + string(c.Operator) + " " + quote(c.Value.String())
	}
	return fmt.Sprintf("%v", condition)
}

func joinTerms(terms []Condition, operator string) string {
	texts := make([]string, 0, len(terms))
	for _, term := range terms {
		texts = append(texts, termText(term))
	}
	return strings.Join(texts, operator)
}

// termText puts nested And and Or conditions in parentheses, so that the text does
// not depend on operator precedence.
func termText(term Condition) string {
	switch term.(type) {
	case And, Or:
		return "(" + conditionText(term) + ")"
	case Not, Comparison:
	}
	return conditionText(term)
}

// String returns the canonical text.
func (c Diff) String() string { return "diff " + quote(c.Name) }

// String returns the canonical text.
func (c Confirm) String() string {
	if c.ChangeID == "" {
		return "confirm " + quote(c.Name)
	}
	return "confirm " + quote(c.Name) + " id " + quote(c.ChangeID)
}

// String returns the canonical text.
func (c Discard) String() string { return "discard " + quote(c.Name) }

// String returns the canonical text.
func (c InForce) String() string { return "in force " + c.Scope.String() }

// String returns the scope as written in a command.
func (Everywhere) String() string { return "everywhere" }

// String returns the scope as written in a command.
func (s AtNode) String() string { return "at node " + quote(s.Instance) }

// String returns the scope as written in a command.
func (s InDomain) String() string { return "in domain " + quote(s.Domain) }

// String returns the scope as written in a command.
func (s InRegion) String() string { return "in region " + quote(s.Region) }

// String returns the canonical text.
func (c Explain) String() string {
	text := "explain " + quote(c.Method) + " " + quote(c.Path)
	if c.Tenant != "" {
		text += " as " + quote(c.Tenant)
	}
	if !c.At.IsZero() {
		text += " at " + formatTime(c.At)
	}
	return text
}

// String returns the canonical text.
func (c History) String() string {
	text := fmt.Sprintf("history of %s %s", c.Object.Kind, quote(c.Object.Name))
	return text + optionalClause("limit", c.Limit)
}

// String returns the canonical text.
func (c Undo) String() string {
	text := fmt.Sprintf("undo %d", c.Version)
	if c.Name != "" {
		text += " as " + quote(c.Name)
	}
	return text
}

// String returns the canonical text.
func (c Drain) String() string { return "drain " + quote(c.Instance) }

// String returns the canonical text.
func (c Release) String() string { return "release " + quote(c.Content) }

// String returns the canonical text.
func (c Watch) String() string {
	text := "watch version latest"
	if c.Version != 0 {
		text = fmt.Sprintf("watch version %d", c.Version)
	}
	if c.For != 0 {
		text += " for " + bfresult.FormatDuration(c.For)
	}
	return text
}

// String returns the canonical text.
func (c Help) String() string {
	if c.Topic == "" {
		return "help"
	}
	return "help " + quote(c.Topic)
}
