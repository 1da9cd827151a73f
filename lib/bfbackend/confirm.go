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

// confirmKey returns the key of the row that binds a confirm to a staged change.
//
// A confirm is retried through another node if its reply is lost, and by then the name may be
// free or refer to another change. The row is written before the first attempt, so a retry
// finds the same change and reports its outcome instead of confirming another change.
func confirmKey(confirmID string) string { return "confirm/" + confirmID }

// Confirm commits the change staged under a name; confirmID makes retries idempotent.
func (b *Backend) Confirm(ctx context.Context, name, confirmID, author string) (bfquery.ConfirmOutcome, error) {
	changeID, err := b.bindConfirm(ctx, name, confirmID)
	var unknown *bfstore.UnknownError
	var unavailable *bfstore.UnavailableError
	switch {
	case errors.As(err, &unknown):
		// Only the binding is in doubt: no commit was attempted, and this call will not attempt
		// one.
		return bfquery.NotAccepted{Reason: "no commit was attempted: the platform's responses are being lost"}, nil
	case errors.As(err, &unavailable):
		return bfquery.NotAccepted{Reason: "the platform does not answer: " + unavailable.Reason, RetryAfter: unavailable.RetryAfter}, nil
	case err != nil:
		return nil, err
	}
	attempt := bfcommit.NewConfirm(changeID, b.State(), b.limits)
	outcome := bfcommit.Run(ctx, b.config.Table, attempt, b.clock)
	return b.confirmOutcome(ctx, name, confirmID, author, outcome)
}

// bindConfirm returns the ID of the staged change that the confirm is bound to, and binds it
// first if necessary.
func (b *Backend) bindConfirm(ctx context.Context, name, confirmID string) (string, error) {
	if changeID, err := b.boundChange(ctx, confirmID); changeID != "" || err != nil {
		return changeID, err
	}
	_, staged, err := b.lookUpName(ctx, name)
	if isNotStaged(err) {
		return b.recheckBinding(ctx, name, confirmID)
	}
	if err != nil {
		return "", err
	}
	err = b.config.Table.Commit(ctx, bfstore.Transaction{
		Conditions: []bfstore.Condition{{Key: confirmKey(confirmID)}},
		Writes:     []bfstore.Write{{Key: confirmKey(confirmID), Value: []byte(staged.ID())}},
	})
	var conflict *bfstore.ConflictError
	if errors.As(err, &conflict) {
		return string(conflict.Row.Value), nil
	}
	return staged.ID(), err
}

// boundChange returns the ID of the change that the confirm is bound to, empty if it is not
// bound.
func (b *Backend) boundChange(ctx context.Context, confirmID string) (string, error) {
	rows, err := b.config.Table.Get(ctx, confirmKey(confirmID))
	if err != nil {
		return "", err
	}
	return string(rows[0].Value), nil
}

// recheckBinding reads the binding again after the name was found free.
//
// The same confirm, sent through another node, may have bound and committed the change between
// the two reads; reporting "not staged" would then be wrong, because a version exists. The
// binding was written before the commit that freed the name, so this read cannot miss it.
func (b *Backend) recheckBinding(ctx context.Context, name, confirmID string) (string, error) {
	changeID, err := b.boundChange(ctx, confirmID)
	if changeID == "" && err == nil {
		err = &bfquery.NotStagedError{Name: name}
	}
	return changeID, err
}

func (b *Backend) confirmOutcome(ctx context.Context, name, confirmID, author string, outcome bfcommit.Outcome) (bfquery.ConfirmOutcome, error) {
	switch o := outcome.(type) {
	case bfcommit.Committed:
		b.afterCommit(ctx, name, author, o)
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
		b.config.Logger.Emit(bflog.CommitUnknown, slog.String("change", o.ID), bflog.Err(o.Reason))
	}
	return bfquery.Unknown{ChangeID: confirmID}, nil
}

// afterCommit publishes the version and writes a snapshot if one is due.
func (b *Backend) afterCommit(ctx context.Context, name, author string, o bfcommit.Committed) {
	b.config.Logger.Emit(bflog.VersionCommitted, slog.Uint64("version", uint64(o.Version)),
		slog.String("author", author), slog.String("change", o.Delta.Change().ID()))
	data, err := o.Delta.Encode()
	if err == nil {
		err = b.config.Control.PublishDelta(ctx, data)
	}
	if err != nil {
		// The version is in the table: the next node that reads the head publishes it.
		b.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
	}
	b.config.Spawn("clean up after commit", func(ctx context.Context) error {
		b.freeName(ctx, name, o.Delta.Change().ID())
		b.snapshot(ctx, o)
		return nil
	})
}

// freeName removes the name's row if it still refers to the committed change. A row that
// remains is harmless: its change no longer exists, so the name is free.
func (b *Backend) freeName(ctx context.Context, name, changeID string) {
	rows, err := b.config.Table.Get(ctx, nameKey(name))
	if err != nil || rows[0].Revision == 0 || string(rows[0].Value) != changeID {
		return
	}
	_ = b.config.Table.Commit(ctx, bfstore.Transaction{
		Conditions: []bfstore.Condition{{Key: rows[0].Key, Revision: rows[0].Revision}},
		Writes:     []bfstore.Write{{Key: rows[0].Key, Remove: true}},
	})
}

func (b *Backend) snapshot(ctx context.Context, o bfcommit.Committed) {
	if !bfcommit.WritesSnapshot(o.Version, b.config.SnapshotEvery) {
		return
	}
	data, err := o.State.EncodeSnapshot()
	if err != nil {
		b.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	if err := b.config.Objects.PutObject(ctx, bfcommit.SnapshotKey(o.Version), data); err != nil {
		b.config.Logger.Emit(bflog.SnapshotUnusable, slog.Uint64("version", uint64(o.Version)), bflog.Err(err))
	}
}
