package bfquery

import (
	"context"
	"fmt"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// undo stages what takes a version's change back.
//
// It is staged and not committed at once since an operator who undoes is in a
// hurry: diff shows what will happen, and confirm is one more word.
func (r *run) undo(ctx context.Context, command bfsyntax.Undo) error {
	base := r.backend.State()
	ops, err := r.backend.VersionOps(ctx, command.Version)
	if err != nil {
		return err
	}
	if base.Version() < command.Version {
		return &NotHeldError{Version: command.Version, Held: base.Version()}
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

// inverse puts each object that the version touched back to what it was.
func (r *run) inverse(
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
		// The two newest items are the version's own and the one before it.
		const newest = 2
		history, err := r.backend.History(ctx, ref, newest)
		if err != nil {
			return nil, err
		}
		back, err := inverseOp(base, version, ref, history)
		if err != nil {
			return nil, err
		}
		if back != nil {
			inverse = append(inverse, back)
		}
	}
	if len(inverse) == 0 {
		return nil, &NothingToUndoError{Version: version}
	}
	return inverse, nil
}

// inverseOp is the operation that puts one object back, or nil where there is nothing to do.
//
// An object that a later version changed is left alone: putting it back to what
// it was before would take the later change back too, without a word to its
// author.
func inverseOp(
	base *bfconfig.State, version bfconfig.Version, ref bfconfig.Ref, history History,
) (bfconfig.Op, error) {
	if len(history.Items) == 0 {
		return nil, &HistoryGoneError{Ref: ref, Undone: version}
	}
	if later := max(history.Items[0].Version, base.Revision(ref)); later != version {
		return nil, &ChangedSinceError{Ref: ref, Undone: version, Later: later}
	}
	if len(history.Items) < 2 && !history.Complete {
		return nil, &HistoryGoneError{Ref: ref, Undone: version}
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
