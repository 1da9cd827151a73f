package bfbackend

import (
	"context"
	"errors"
	"log/slog"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfstore"
)

// confirmKey is the row that says which staged change a confirm was for.
//
// A confirm is repeated through another node when its answer is lost, and by
// then the name may be gone or stand for another change. The row is written
// before the first attempt, so the repeat finds the same change and learns its
// fate instead of confirming something else.
func confirmKey(confirmID string) string { return "confirm/" + confirmID }

// Confirm commits the change staged under a name, for the confirm with an ID.
func (b *Backend) Confirm(ctx context.Context, name, confirmID, author string) (bfquery.ConfirmOutcome, error) {
	changeID, err := b.bind(ctx, name, confirmID)
	var unknown *bfstore.UnknownError
	var away *bfstore.UnavailableError
	switch {
	case errors.As(err, &unknown):
		// Only the binding was in doubt: no commit was tried, and none will be by this call.
		return bfquery.NotAccepted{Reason: "no commit was tried, since the platform's answers get lost"}, nil
	case errors.As(err, &away):
		return bfquery.NotAccepted{Reason: "the platform does not answer: " + away.Reason, RetryAfter: away.RetryAfter}, nil
	case err != nil:
		return nil, err
	}
	attempt := bfcommit.NewConfirm(changeID, b.State(), b.limits)
	outcome := bfcommit.Run(ctx, b.parts.Table, attempt, b.clock)
	return b.told(ctx, name, confirmID, author, outcome)
}

// bind finds or writes which staged change the confirm is for.
func (b *Backend) bind(ctx context.Context, name, confirmID string) (string, error) {
	if changeID, err := b.bound(ctx, confirmID); changeID != "" || err != nil {
		return changeID, err
	}
	_, staged, err := b.named(ctx, name)
	if isNotStaged(err) {
		return b.boundMeanwhile(ctx, name, confirmID)
	}
	if err != nil {
		return "", err
	}
	err = b.parts.Table.Commit(ctx, bfstore.Transaction{
		Conditions: []bfstore.Condition{{Key: confirmKey(confirmID)}},
		Writes:     []bfstore.Write{{Key: confirmKey(confirmID), Value: []byte(staged.ID())}},
	})
	var conflict *bfstore.ConflictError
	if errors.As(err, &conflict) {
		return string(conflict.Row.Value), nil
	}
	return staged.ID(), err
}

// bound is the change that the confirm was for, empty if it is not known yet.
func (b *Backend) bound(ctx context.Context, confirmID string) (string, error) {
	rows, err := b.parts.Table.Get(ctx, confirmKey(confirmID))
	if err != nil {
		return "", err
	}
	return string(rows[0].Value), nil
}

// boundMeanwhile looks again once the name was found gone.
//
// The same confirm, sent through another node, may have bound and committed the
// change between the two reads. To say "not staged" then would tell the operator
// that nothing happened while a version exists. Its row was written before the
// commit that freed the name, so a read from now on can't miss it.
func (b *Backend) boundMeanwhile(ctx context.Context, name, confirmID string) (string, error) {
	changeID, err := b.bound(ctx, confirmID)
	if changeID == "" && err == nil {
		err = &bfquery.NotStagedError{Name: name}
	}
	return changeID, err
}

func (b *Backend) told(ctx context.Context, name, confirmID, author string, outcome bfcommit.Outcome) (bfquery.ConfirmOutcome, error) {
	switch o := outcome.(type) {
	case bfcommit.Committed:
		b.committed(ctx, name, author, o)
		return bfquery.Committed{Version: o.Version}, nil
	case bfcommit.AlreadyCommitted:
		return bfquery.AlreadyCommitted{Version: o.Version}, nil
	case bfcommit.Conflict:
		return bfquery.Conflict{
			Object: o.Err.Object, Version: o.Err.Version, ChangeID: o.Err.ChangeID, Author: o.Err.Author,
		}, nil
	case bfcommit.Withdrawn:
		return nil, &bfquery.NotStagedError{Name: name}
	case bfcommit.Invalid:
		if isNotStaged(o.Err) {
			return nil, &bfquery.NotStagedError{Name: name}
		}
		return nil, o.Err
	case bfcommit.NotAccepted:
		return bfquery.NotAccepted{Reason: o.Reason.Error(), RetryAfter: o.RetryAfter}, nil
	case bfcommit.Unknown:
		b.parts.Logger.Emit(bflog.CommitUnknown, slog.String("change", o.ID), bflog.Err(o.Reason))
	}
	return bfquery.Unknown{ChangeID: confirmID}, nil
}

// committed tells the fleet, and keeps a snapshot now and then.
func (b *Backend) committed(ctx context.Context, name, author string, o bfcommit.Committed) {
	b.parts.Logger.Emit(bflog.VersionCommitted, slog.Uint64("version", uint64(o.Version)),
		slog.String("author", author), slog.String("change", o.Delta.Change().ID()))
	data, err := o.Delta.Encode()
	if err == nil {
		err = b.parts.Control.Committed(ctx, data)
	}
	if err != nil {
		// The version is in the table: the next node that reads the head spreads it.
		b.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
	b.parts.Spawn("tidy after commit", func(ctx context.Context) error {
		b.freeName(ctx, name, o.Delta.Change().ID())
		b.snapshot(ctx, o)
		return nil
	})
}

// freeName removes the name's row if it still stands for the committed change.
// One that stays behind does no harm: its change is gone, so the name is free.
func (b *Backend) freeName(ctx context.Context, name, changeID string) {
	rows, err := b.parts.Table.Get(ctx, nameKey(name))
	if err != nil || rows[0].Revision == 0 || string(rows[0].Value) != changeID {
		return
	}
	_ = b.parts.Table.Commit(ctx, bfstore.Transaction{
		Conditions: []bfstore.Condition{{Key: rows[0].Key, Revision: rows[0].Revision}},
		Writes:     []bfstore.Write{{Key: rows[0].Key, Remove: true}},
	})
}

func (b *Backend) snapshot(ctx context.Context, o bfcommit.Committed) {
	if !bfcommit.WritesSnapshot(o.Version, b.parts.SnapshotEvery) {
		return
	}
	data, err := o.State.EncodeSnapshot()
	if err != nil {
		b.parts.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	if err := b.parts.Objects.PutObject(ctx, bfcommit.SnapshotKey(o.Version), data); err != nil {
		b.parts.Logger.Emit(bflog.SnapshotUnusable, slog.Uint64("version", uint64(o.Version)), bflog.Err(err))
	}
}
