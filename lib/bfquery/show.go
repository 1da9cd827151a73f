package bfquery

import (
	"context"
	"slices"

	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfquery/bfresult"
)

// mostVersions bounds what one command reads from the table for show versions:
// at 96,000 changes a day the whole list would be all that the table could serve.
const mostVersions = 1000

func (r *run) show(ctx context.Context, command bfgrammar.Show) error {
	rows, err := r.rows(ctx, command)
	if err != nil {
		return err
	}
	cut := command.Table == bfgrammar.TableVersions && len(rows) == mostVersions
	table := bfresult.Table{Name: string(command.Table), Columns: bfgrammar.Columns(command.Table), Rows: rows}
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
func choose(command bfgrammar.Show, rows [][]bfresult.Cell) ([][]bfresult.Cell, error) {
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

func (r *run) rows(ctx context.Context, command bfgrammar.Show) ([][]bfresult.Cell, error) {
	switch command.Table {
	case bfgrammar.TableEvents:
		return eventRows(r.backend.State(), r.backend.Now())
	case bfgrammar.TableServices:
		return serviceRows(r.backend.State())
	case bfgrammar.TableRoutes:
		return routeRows(r.backend.State())
	case bfgrammar.TablePolicies:
		return policyRows(r.backend.State())
	case bfgrammar.TableMembers:
		members, err := r.backend.Members(ctx)
		return sortedRows(members, memberRow), err
	case bfgrammar.TableTargets:
		targets, err := r.backend.Targets(ctx)
		return sortedRows(targets, targetRow), err
	case bfgrammar.TableNodes:
		nodes, err := r.backend.Nodes(ctx)
		return sortedRows(nodes, nodeRow), err
	case bfgrammar.TableStaged:
		staged, err := r.backend.StagedList(ctx)
		return sortedRows(staged, stagedRow), err
	case bfgrammar.TableVersions:
		versions, err := r.backend.Versions(ctx, versionLimit(command))
		return rowsOf(versions, versionRow), err
	}
	return nil, &unexpectedError{what: "table " + string(command.Table)}
}

// versionLimit reads no more versions than are shown, where no condition or order needs more.
func versionLimit(command bfgrammar.Show) int {
	if command.Limit == 0 || command.Where != nil || command.Order != nil {
		return mostVersions
	}
	return min(command.Limit, mostVersions)
}
