package bfquery

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// Rows must match the columns that bfsyntax defines; Table.Check verifies this.

type row = []bfresult.Cell

func text(s string) bfresult.Cell { return bfresult.TextCell(s) }

func number[T ~int | ~uint64](n T) bfresult.Cell { return bfresult.NumberCell(n) }

func rowsOf[T any](items []T, make func(T) row) []row {
	var rows []row
	for _, item := range items {
		rows = append(rows, make(item))
	}
	return rows
}

// sortedRows orders rows by their first column, so that every node returns the same order.
func sortedRows[T any](items []T, make func(T) row) []row {
	rows := rowsOf(items, make)
	slices.SortStableFunc(rows, func(a, b row) int { return bfresult.Compare(a[0], b[0]) })
	return rows
}

// objectRows makes a row for each object of a kind; T is the kind's spec type.
func objectRows[T bfconfig.Object](
	state *bfconfig.State, kind bfconfig.Kind, make func(spec T, revision bfresult.Cell) row,
) ([]row, error) {
	var rows []row
	for _, object := range state.Objects(kind) {
		spec, same := object.(T)
		if !same {
			return nil, &internalError{reason: "object " + object.Ref().String() + " of another kind"}
		}
		rows = append(rows, make(spec, number(state.Revision(object.Ref()))))
	}
	return rows, nil
}

func eventRows(state *bfconfig.State, now time.Time) ([]row, error) {
	return objectRows(state, bfconfig.KindEvent, func(e bfconfig.EventSpec, revision bfresult.Cell) row {
		return row{
			text(e.Name), text(eventPhase(e, now)), bfresult.TimeCell(e.Start), bfresult.TimeCell(e.End),
			bfresult.DurationCell(e.WarmUp), bfresult.ListCell(bfsyntax.OverrideTexts(e.Overrides)), revision,
		}
	})
}

// eventPhase returns the phase of the event at a time.
func eventPhase(e bfconfig.EventSpec, now time.Time) string {
	switch {
	case !now.Before(e.End):
		return "over"
	case !now.Before(e.Start):
		return "active"
	case !now.Before(e.Start.Add(-e.WarmUp)):
		return "warming"
	}
	return "planned"
}

func serviceRows(state *bfconfig.State) ([]row, error) {
	routes := map[string]int{}
	for _, object := range state.Objects(bfconfig.KindRoute) {
		if route, isRoute := object.(bfconfig.RouteSpec); isRoute {
			routes[route.Service]++
		}
	}
	return objectRows(state, bfconfig.KindService, func(s bfconfig.ServiceSpec, revision bfresult.Cell) row {
		return row{text(s.Name), number(s.Slots), bfresult.DurationCell(s.ColdStart), number(routes[s.Name]), revision}
	})
}

func routeRows(state *bfconfig.State) ([]row, error) {
	return objectRows(state, bfconfig.KindRoute, func(s bfconfig.RouteSpec, revision bfresult.Cell) row {
		return row{
			text(s.Name), text(s.Prefix), methodsCell(s.Methods), text(s.Service), text(s.Policy), revision,
		}
	})
}

// methodsCell shows an empty list, which matches every method, as "any".
func methodsCell(methods []string) bfresult.Cell {
	if len(methods) == 0 {
		return bfresult.ListCell{"any"}
	}
	return bfresult.ListCell(methods)
}

func policyRows(state *bfconfig.State) ([]row, error) {
	return objectRows(state, bfconfig.KindPolicy, func(p bfconfig.PolicySpec, revision bfresult.Cell) row {
		return row{
			text(p.Name), text(p.Class), bfresult.FlagCell(p.Idempotent), bfresult.DurationCell(p.Deadline),
			number(p.Priority), number(p.Queue), number(p.Concurrency), bfresult.PercentCell(p.RetryPercent),
			number(p.TenantLimit), bfresult.FlagCell(p.DurableKeys), revision,
		}
	})
}

func memberRow(m Member) row {
	return row{
		text(m.Instance), text(m.Service), text(m.Region), text(m.Domain),
		text(m.Address), text(m.State), number(m.Incarnation),
	}
}

func targetRow(t Target) row {
	return row{
		text(t.Instance), text(t.Service), text(t.Domain), text(t.State),
		number(t.Slots), number(t.InUse), number(t.Queued),
	}
}

func nodeRow(n Node) row {
	return row{
		text(n.Instance), text(n.Region), text(n.Domain), number(n.Version),
		bfresult.FlagCell(n.Reachable), bfresult.DurationCell(n.Age.Truncate(time.Millisecond)),
	}
}

func workspaceRow(w Workspace) row {
	return row{
		text(w.Name), number(w.Rank), bfresult.FlagCell(w.HasRank), number(w.Rate), number(w.Burst), number(w.Keys),
	}
}

func quarantineRow(i bfquarantine.Item, now time.Time) row {
	state, remaining := "noted", time.Duration(0)
	switch verdict := i.Worst.(type) {
	case bfquarantine.Held:
		state, remaining = "held", verdict.Until().Sub(now)
	case bfquarantine.Isolated:
		state = "apart"
	}
	return row{
		text(i.Content.String()), text(state), number(i.Crashes), number(i.Callers),
		bfresult.DurationCell(now.Sub(i.Last).Truncate(time.Millisecond)), bfresult.DurationCell(remaining.Truncate(time.Millisecond)),
	}
}

func versionRow(v VersionInfo) row {
	objects := make(bfresult.ListCell, 0, len(v.Objects))
	for _, ref := range v.Objects {
		objects = append(objects, ref.String())
	}
	return row{number(v.Version), bfresult.TimeCell(v.At), text(v.Author), text(v.ChangeID), objects}
}

func stagedRow(s StagedChange) row {
	objects := make(bfresult.ListCell, 0, len(s.Ops))
	for _, op := range s.Ops {
		objects = append(objects, op.ObjectRef().String())
	}
	return row{text(s.Name), text(s.Author), bfresult.TimeCell(s.At), number(s.Base), objects}
}
