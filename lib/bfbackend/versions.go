package bfbackend

import (
	"context"
	"fmt"
	"slices"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery"
)

// pageSize is the number of versions read from the table at once.
const pageSize = 200

// deltas reads the retained versions from first to last, oldest first.
func (b *Backend) deltas(ctx context.Context, first, last bfconfig.Version) ([]bfconfig.Delta, error) {
	from, to := bfcommit.VersionRange(first, last)
	rows, err := b.config.Table.Range(ctx, from, to, int(last-first)+1)
	if err != nil {
		return nil, err
	}
	deltas := make([]bfconfig.Delta, 0, len(rows))
	for _, row := range rows {
		delta, err := bfconfig.DecodeDelta(row.Value)
		if err != nil {
			return nil, fmt.Errorf("row %s: %w", row.Key, err)
		}
		deltas = append(deltas, delta)
	}
	return deltas, nil
}

func (b *Backend) head(ctx context.Context) (bfconfig.Version, error) {
	rows, err := b.config.Table.Get(ctx, bfcommit.HeadKey)
	if err != nil {
		return 0, err
	}
	head, err := bfcommit.DecodeHead(rows[0])
	return head.Version, err
}

// visitBackwards calls visit for the versions from the newest to the oldest until it returns
// false.
func (b *Backend) visitBackwards(ctx context.Context, visit func(bfconfig.Delta) bool) error {
	last, err := b.head(ctx)
	if err != nil {
		return err
	}
	for last > 0 {
		first := bfconfig.Version(1)
		if last > pageSize {
			first = last - pageSize + 1
		}
		deltas, err := b.deltas(ctx, first, last)
		if err != nil {
			return err
		}
		for _, delta := range slices.Backward(deltas) {
			if !visit(delta) {
				return nil
			}
		}
		last = first - 1
	}
	return nil
}

// History lists the newest versions that put or removed the object, newest first.
func (b *Backend) History(ctx context.Context, ref bfconfig.Ref, limit int) (bfquery.History, error) {
	history := bfquery.History{Complete: true}
	err := b.visitBackwards(ctx, func(delta bfconfig.Delta) bool {
		for _, op := range slices.Backward(delta.Change().Ops()) {
			if op.ObjectRef() == ref {
				history.Items = append(history.Items, bfquery.HistoryItem{
					Version: delta.Version(), At: delta.Change().At(),
					Author: delta.Change().Author(), ChangeID: delta.Change().ID(), Op: op,
				})
				break
			}
		}
		return len(history.Items) < limit
	})
	return history, err
}

// VersionOps returns the operations of a version, or a NoVersionError.
func (b *Backend) VersionOps(ctx context.Context, version bfconfig.Version) ([]bfconfig.Op, error) {
	if version == 0 {
		return nil, &bfquery.NoVersionError{Version: version}
	}
	deltas, err := b.deltas(ctx, version, version)
	if err != nil {
		return nil, err
	}
	if len(deltas) == 0 {
		return nil, &bfquery.NoVersionError{Version: version}
	}
	return deltas[0].Change().Ops(), nil
}

// Versions lists the newest versions, newest first.
func (b *Backend) Versions(ctx context.Context, limit int) ([]bfquery.VersionInfo, error) {
	var list []bfquery.VersionInfo
	err := b.visitBackwards(ctx, func(delta bfconfig.Delta) bool {
		info := bfquery.VersionInfo{
			Version: delta.Version(), At: delta.Change().At(),
			Author: delta.Change().Author(), ChangeID: delta.Change().ID(),
		}
		for _, op := range delta.Change().Ops() {
			info.Objects = append(info.Objects, op.ObjectRef())
		}
		list = append(list, info)
		return len(list) < limit
	})
	return list, err
}
