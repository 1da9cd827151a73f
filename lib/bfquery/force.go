package bfquery

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfcensus"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

var inForceColumns = []bfresult.Column{
	{Name: "region", Type: bfresult.TypeText},
	{Name: "domain", Type: bfresult.TypeText},
	{Name: "oldest", Type: bfresult.TypeNumber},
	{Name: "nodes", Type: bfresult.TypeNumber},
	{Name: "unreachable", Type: bfresult.TypeNumber},
}

func (r *execution) inForce(ctx context.Context, command bfsyntax.InForce) error {
	census, err := r.backend.Census(ctx, command.Scope)
	if err != nil {
		return err
	}
	table := bfresult.Table{Name: "in-force", Columns: inForceColumns}
	for _, domain := range census.Sorted() {
		table.Rows = append(table.Rows, row{
			text(domain.Region), text(domain.Domain), number(domain.Oldest),
			number(domain.Nodes), number(domain.Unreachable),
		})
	}
	if err := r.emit(table); err != nil {
		return err
	}
	return r.message("%s", census)
}

// watchInterval is the polling interval of a watch; a version spreads within seconds.
const watchInterval = 500 * time.Millisecond

// watch emits progress at each poll until the version is in force on every node or time is up.
func (r *execution) watch(ctx context.Context, command bfsyntax.Watch) error {
	version, err := r.watchedVersion(ctx, command)
	if err != nil {
		return err
	}
	if version == 0 {
		return r.message("no version has been committed yet")
	}
	duration := command.For
	if duration == 0 {
		duration = bfsyntax.DefaultWatchDuration
	}
	start := r.backend.Now()
	for {
		census, err := r.backend.Census(ctx, bfsyntax.Everywhere{})
		if err != nil {
			return err
		}
		step := bfcensus.Watch(census, version, r.backend.Now().Sub(start), duration)
		if err := r.emit(step.Progress); err != nil {
			return err
		}
		if step.Outcome != nil {
			return r.emit(*step.Outcome)
		}
		if err := r.backend.Wait(ctx, min(watchInterval, step.Remaining)); err != nil {
			return err
		}
	}
}

func (r *execution) watchedVersion(ctx context.Context, command bfsyntax.Watch) (bfconfig.Version, error) {
	if command.Version != 0 {
		return command.Version, nil
	}
	newest, err := r.backend.Versions(ctx, 1)
	if err != nil {
		return 0, err
	}
	if len(newest) == 0 {
		return 0, nil
	}
	return newest[0].Version, nil
}
