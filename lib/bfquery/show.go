package bfquery

import (
	"context"
	"slices"

	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// maxVersions is the maximum number of versions that one command reads from the
// store: at 96,000 changes a day, reading all of them would overload it.
const maxVersions = 1000

func (r *execution) show(ctx context.Context, command bfsyntax.Show) error {
	rows, err := r.rows(ctx, command)
	if err != nil {
		return err
	}
	truncated := command.Table == bfsyntax.TableVersions && len(rows) == maxVersions
	table := bfresult.Table{Name: string(command.Table), Columns: bfsyntax.Columns(command.Table), Rows: rows}
	if err := table.Check(); err != nil {
		return err
	}
	if table.Rows, err = selectRows(command, rows); err != nil {
		return err
	}
	if err := r.emit(table); err != nil {
		return err
	}
	if truncated {
		return r.message("only the newest %d versions were searched", maxVersions)
	}
	return nil
}

// selectRows filters, sorts and limits rows; the sort is stable.
func selectRows(command bfsyntax.Show, rows [][]bfresult.Cell) ([][]bfresult.Cell, error) {
	filter, err := command.Filter()
	if err != nil {
		return nil, err
	}
	var selected [][]bfresult.Cell
	for _, row := range rows {
		if filter(row) {
			selected = append(selected, row)
		}
	}
	slices.SortStableFunc(selected, command.Compare)
	if command.Limit > 0 && len(selected) > command.Limit {
		selected = selected[:command.Limit]
	}
	return selected, nil
}

func (r *execution) rows(ctx context.Context, command bfsyntax.Show) ([][]bfresult.Cell, error) {
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
	case bfsyntax.TableWorkspaces:
		return rowsOf(r.backend.Workspaces(), workspaceRow), nil
	case bfsyntax.TableStaged:
		staged, err := r.backend.StagedList(ctx)
		return sortedRows(staged, stagedRow), err
	case bfsyntax.TableVersions:
		versions, err := r.backend.Versions(ctx, versionLimit(command))
		return rowsOf(versions, versionRow), err
	}
	return nil, &internalError{reason: "table " + string(command.Table)}
}

// versionLimit returns the number of versions to read: the command's limit, unless a
// condition or order needs more.
func versionLimit(command bfsyntax.Show) int {
	if command.Limit == 0 || command.Where != nil || command.Order != nil {
		return maxVersions
	}
	return min(command.Limit, maxVersions)
}
