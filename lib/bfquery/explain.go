package bfquery

import (
	"context"
	"fmt"
	"strings"

	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

var candidateColumns = []bfresult.Column{
	{Name: "target", Type: bfresult.TypeText},
	{Name: "domain", Type: bfresult.TypeText},
	{Name: "state", Type: bfresult.TypeText},
	{Name: "slots", Type: bfresult.TypeNumber},
	{Name: "inuse", Type: bfresult.TypeNumber},
	{Name: "eligible", Type: bfresult.TypeFlag},
	{Name: "why", Type: bfresult.TypeText},
}

func (r *execution) explain(ctx context.Context, command bfsyntax.Explain) error {
	at := command.At
	if at.IsZero() {
		at = r.backend.Now()
	}
	request := ExplainRequest{Method: command.Method, Path: command.Path, Tenant: command.Tenant, At: at}
	explanation, err := r.backend.Explain(ctx, request)
	if err != nil {
		return err
	}
	if err := r.message("%s", explanationText(command, explanation)); err != nil {
		return err
	}
	if explanation.Route == "" {
		return nil
	}
	table := bfresult.Table{Name: "candidates", Columns: candidateColumns}
	for _, c := range explanation.Candidates {
		table.Rows = append(table.Rows, row{
			text(c.Target.Instance), text(c.Target.Domain), text(c.Target.State),
			number(c.Target.Slots), number(c.Target.InUse), bfresult.FlagCell(c.Eligible), text(c.Why),
		})
	}
	return r.emit(table)
}

func explanationText(command bfsyntax.Explain, e Explanation) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s by version %d", command.Method, command.Path, e.Version)
	if e.Route == "" {
		text.WriteString(": no route")
	} else {
		fmt.Fprintf(&text, ": route %s, service %s, policy %s", e.Route, e.Service, e.Policy)
	}
	if e.Event != "" {
		fmt.Fprintf(&text, ", event %s", e.Event)
	}
	for _, reason := range e.Reasons {
		text.WriteString("\n  " + reason)
	}
	return text.String()
}
