package bfquery

import (
	"context"
	"slices"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfplan"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

var diffColumns = []bfresult.Column{
	{Name: "object", Type: bfresult.TypeText},
	{Name: "action", Type: bfresult.TypeText},
	{Name: "field", Type: bfresult.TypeText},
	{Name: "before", Type: bfresult.TypeText},
	{Name: "after", Type: bfresult.TypeText},
}

func (r *execution) diff(ctx context.Context, command bfsyntax.Diff) error {
	list, err := r.backend.StagedList(ctx)
	if err != nil {
		return err
	}
	index := slices.IndexFunc(list, func(s StagedChange) bool { return s.Name == command.Name })
	if index < 0 {
		return &NotStagedError{Name: command.Name}
	}
	staged, state := list[index], r.backend.State()
	rows, err := diffRows(state, staged.Ops)
	if err != nil {
		return err
	}
	if err := r.emit(bfresult.Table{Name: "diff", Columns: diffColumns, Rows: rows}); err != nil {
		return err
	}
	for _, op := range staged.Ops {
		revision := state.Revision(op.ObjectRef())
		if revision <= staged.Base {
			continue
		}
		if err := r.message("%s was changed in version %d, after this was staged on version %d: a confirm will conflict",
			op.ObjectRef(), revision, staged.Base); err != nil {
			return err
		}
	}
	return nil
}

// diffRows applies the operations in sequence, since several may change the same object.
func diffRows(state *bfconfig.State, ops []bfconfig.Op) ([]row, error) {
	current := map[bfconfig.Ref]bfconfig.Object{}
	var rows []row
	for _, op := range ops {
		ref := op.ObjectRef()
		before, seen := current[ref]
		if !seen {
			before, _ = state.Object(ref)
		}
		after := objectAfter(op)
		current[ref] = after
		objectRows, err := changeRows(ref, before, after)
		if err != nil {
			return nil, err
		}
		rows = append(rows, objectRows...)
	}
	return rows, nil
}

func objectAfter(op bfconfig.Op) bfconfig.Object {
	if put, isPut := op.(bfconfig.Put); isPut {
		return put.Object
	}
	return nil
}

func changeRows(ref bfconfig.Ref, before, after bfconfig.Object) ([]row, error) {
	changes, err := bfplan.Difference(before, after)
	if err != nil {
		return nil, err
	}
	action := bfplan.Action(before, after)
	if len(changes) == 0 {
		return []row{{text(ref.String()), text("none"), text(""), text(""), text("")}}, nil
	}
	var rows []row
	for _, c := range changes {
		rows = append(rows, row{text(ref.String()), text(action), text(c.Field), text(c.Before), text(c.After)})
	}
	return rows, nil
}

var historyColumns = []bfresult.Column{
	{Name: "version", Type: bfresult.TypeNumber},
	{Name: "at", Type: bfresult.TypeTime},
	{Name: "author", Type: bfresult.TypeText},
	{Name: "change", Type: bfresult.TypeText},
	{Name: "action", Type: bfresult.TypeText},
	{Name: "changes", Type: bfresult.TypeList},
}

func (r *execution) history(ctx context.Context, command bfsyntax.History) error {
	const defaultLimit = 20
	limit := command.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	limit = min(limit, maxVersions)
	// The item after the last one shown is needed to compute its differences.
	history, err := r.backend.History(ctx, command.Object, limit+1)
	if err != nil {
		return err
	}
	table := bfresult.Table{Name: "history", Columns: historyColumns}
	for i := range min(limit, len(history.Items)) {
		next, err := historyRow(history, i)
		if err != nil {
			return err
		}
		table.Rows = append(table.Rows, next)
	}
	if err := r.emit(table); err != nil {
		return err
	}
	if len(history.Items) <= limit && !history.Complete {
		return r.message("older versions are no longer kept")
	}
	return nil
}

// historyRow makes the row of item i, with its differences from the previous version.
func historyRow(history History, i int) (row, error) {
	item := history.Items[i]
	after := objectAfter(item.Op)
	var before bfconfig.Object
	hasBefore := i+1 < len(history.Items)
	if hasBefore {
		before = objectAfter(history.Items[i+1].Op)
	}
	changes := bfresult.ListCell{}
	action := bfplan.Action(before, after)
	switch {
	case after == nil:
		action = "remove"
	case !hasBefore && !history.Complete:
		action = "put"
	default:
		list, err := bfplan.Difference(before, after)
		if err != nil {
			return nil, err
		}
		changes = changeTexts(list)
	}
	return row{
		number(item.Version), bfresult.TimeCell(item.At), text(item.Author),
		text(item.ChangeID), text(action), changes,
	}, nil
}

func changeTexts(changes []bfplan.FieldChange) bfresult.ListCell {
	texts := bfresult.ListCell{}
	for _, c := range changes {
		if c.Before == "" {
			texts = append(texts, c.Field+" "+c.After)
			continue
		}
		texts = append(texts, c.Field+" "+c.Before+" → "+c.After)
	}
	return texts
}
