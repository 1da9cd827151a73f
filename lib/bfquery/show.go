package bfquery

import (
	"context"
	"slices"

	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// mostVersions bounds what one command reads from the table for show versions:
// at 96,000 changes a day the whole list would be all that the table could serve.
const mostVersions = 1000

func (r *run) show(ctx context.Context, command bfsyntax.Show) error {
	rows, err := r.rows(ctx, command)
	if err != nil {
		return err
	}
	cut := command.Table == bfsyntax.TableVersions && len(rows) == mostVersions
	table := bfresult.Table{Name: string(command.Table), Columns: bfsyntax.Columns(command.Table), Rows: rows}
	if err := table.Check(); err != nil {
		return err
	}
	if table.Rows, err = choose(command, rows); err != nil {
		return err
	}
	if err := r.emit(table); err != nil {
		return err
	}
	if cut {
		return r.message("only the newest %d versions were searched", mostVersions)
	}
	return nil
}

// choose filters, orders and limits rows; rows that compare equal keep their order.
func choose(command bfsyntax.Show, rows [][]bfresult.Cell) ([][]bfresult.Cell, error) {
	filter, err := command.Filter()
	if err != nil {
		return nil, err
	}
	var chosen [][]bfresult.Cell
	for _, row := range rows {
		if filter(row) {
			chosen = append(chosen, row)
		}
	}
	slices.SortStableFunc(chosen, command.Compare)
	if command.Limit > 0 && len(chosen) > command.Limit {
		chosen = chosen[:command.Limit]
	}
	return chosen, nil
}

func (r *run) rows(ctx context.Context, command bfsyntax.Show) ([][]bfresult.Cell, error) {
	switch command.Table {
	case bfsyntax.TableEvents:
		return eventRows(r.backend.State(), r.backend.Now())
	case bfsyntax.TableServices:
		return serviceRows(r.backend.State())
	case bfsyntax.TableRoutes:
		return routeRows(r.backend.State())
	case bfsyntax.TablePolicies:
		return policyRows(r.backend.State())
	case bfsyntax.TableMembers:
		members, err := r.backend.Members(ctx)
		return sortedRows(members, memberRow), err
	case bfsyntax.TableTargets:
		targets, err := r.backend.Targets(ctx)
		return sortedRows(targets, targetRow), err
	case bfsyntax.TableNodes:
		nodes, err := r.backend.Nodes(ctx)
		return sortedRows(nodes, nodeRow), err
	case bfsyntax.TableQuarantine:
		return rowsOf(r.backend.Quarantine(), func(i bfquarantine.Item) row { return quarantineRow(i, r.backend.Now()) }), nil
	case bfsyntax.TableStaged:
		staged, err := r.backend.StagedList(ctx)
		return sortedRows(staged, stagedRow), err
	case bfsyntax.TableVersions:
		versions, err := r.backend.Versions(ctx, versionLimit(command))
		return rowsOf(versions, versionRow), err
	}
	return nil, &unexpectedError{what: "table " + string(command.Table)}
}

// versionLimit reads no more versions than are shown, where no condition or order needs more.
func versionLimit(command bfsyntax.Show) int {
	if command.Limit == 0 || command.Where != nil || command.Order != nil {
		return mostVersions
	}
	return min(command.Limit, mostVersions)
}
