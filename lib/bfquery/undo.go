package bfquery

import (
	"context"
	"fmt"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// undo stages the inverse of a version's change.
//
// It does not commit, so that the operator can review the inverse with diff first.
func (r *execution) undo(ctx context.Context, command bfsyntax.Undo) error {
	base := r.backend.State()
	ops, err := r.backend.VersionOps(ctx, command.Version)
	if err != nil {
		return err
	}
	if base.Version() < command.Version {
		return &NodeBehindError{Version: command.Version, Held: base.Version()}
	}
	inverse, err := r.inverse(ctx, base, command.Version, ops)
	if err != nil {
		return err
	}
	name := command.Name
	if name == "" {
		name = fmt.Sprintf("undo-%d", command.Version)
	}
	return r.stageOps(ctx, name, base, inverse)
}

// inverse returns the operations that restore each object changed by the version.
func (r *execution) inverse(
	ctx context.Context, base *bfconfig.State, version bfconfig.Version, ops []bfconfig.Op,
) ([]bfconfig.Op, error) {
	seen := map[bfconfig.Ref]bool{}
	var inverse []bfconfig.Op
	for _, op := range ops {
		ref := op.ObjectRef()
		if seen[ref] {
			continue
		}
		seen[ref] = true
		// The latest two items are the version's own and the one before it.
		const limit = 2
		history, err := r.backend.History(ctx, ref, limit)
		if err != nil {
			return nil, err
		}
		restore, err := inverseOp(base, version, ref, history)
		if err != nil {
			return nil, err
		}
		if restore != nil {
			inverse = append(inverse, restore)
		}
	}
	if len(inverse) == 0 {
		return nil, &NothingToUndoError{Version: version}
	}
	return inverse, nil
}

// inverseOp returns the operation that restores one object, or nil if none is needed.
//
// It returns a *ChangedSinceError for an object that a later version changed, since
// restoring it would silently revert the later change too.
func inverseOp(
	base *bfconfig.State, version bfconfig.Version, ref bfconfig.Ref, history History,
) (bfconfig.Op, error) {
	if len(history.Items) == 0 {
		return nil, &HistoryExpiredError{Ref: ref, Undone: version}
	}
	if later := max(history.Items[0].Version, base.Revision(ref)); later != version {
		return nil, &ChangedSinceError{Ref: ref, Undone: version, Later: later}
	}
	if len(history.Items) < 2 && !history.Complete {
		return nil, &HistoryExpiredError{Ref: ref, Undone: version}
	}
	if len(history.Items) >= 2 {
		if before, wasPut := history.Items[1].Op.(bfconfig.Put); wasPut {
			return before, nil
		}
	}
	if _, exists := base.Object(ref); !exists {
		return nil, nil
	}
	return bfconfig.Remove{Ref: ref}, nil
}
