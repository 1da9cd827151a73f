package bfbackend

import (
	"context"
	"errors"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfstore"
)

// A staged change has two rows: one keyed by its change ID, which the commit removes in its
// transaction, and one keyed by its name, which holds the ID. A name whose change no longer
// exists is free.
const namePrefix = "staged-name/"

// nameEnd is the first key after all name rows.
const nameEnd = "staged-name0"

func nameKey(name string) string { return namePrefix + name }

// maxStaged bounds the number of listed changes.
const maxStaged = 1000

// errNameTaken reports that another staged change has the name.
var errNameTaken = errors.New("name is taken by another staged change")

// Stage stores a staged change, which can then be confirmed through any node. It returns a
// StagedExistsError if another change has the name.
func (b *Backend) Stage(ctx context.Context, request bfquery.StageRequest) (bfquery.StagedChange, error) {
	staged, err := bfcommit.Stage(request.Base, request.ChangeID, request.Author, b.Now(), request.Ops)
	if err != nil {
		return bfquery.StagedChange{}, err
	}
	for {
		nameRow, held, err := b.lookUpName(ctx, request.Name)
		switch {
		case err == nil && held.ID() == request.ChangeID:
			return stagedChange(request.Name, held), nil
		case err == nil:
			return bfquery.StagedChange{}, &bfquery.StagedExistsError{Name: request.Name, Author: held.Author()}
		case !isNotStaged(err):
			return bfquery.StagedChange{}, err
		}
		err = b.writeStaged(ctx, request.Name, nameRow, staged)
		switch {
		case err == nil:
			return stagedChange(request.Name, staged), nil
		case !errors.Is(err, errNameTaken):
			return bfquery.StagedChange{}, err
		}
		// Another operator took the name in the meantime; the next read returns its change.
	}
}

func (b *Backend) writeStaged(ctx context.Context, name string, nameRow bfstore.Row, staged bfcommit.Staged) error {
	tx, err := staged.Transaction()
	if err != nil {
		return err
	}
	tx.Conditions = append(tx.Conditions, bfstore.Condition{Key: nameRow.Key, Revision: nameRow.Revision})
	tx.Writes = append(tx.Writes, bfstore.Write{Key: nameKey(name), Value: []byte(staged.ID())})
	err = b.config.Table.Commit(ctx, tx)
	var conflict *bfstore.ConflictError
	if errors.As(err, &conflict) {
		return errNameTaken
	}
	return err
}

func isNotStaged(err error) bool {
	var byName *bfquery.NotStagedError
	var byID *bfcommit.NotStagedError
	return errors.As(err, &byName) || errors.As(err, &byID)
}

// lookUpName returns the change staged under a name, and the name's row even if there is no
// change.
func (b *Backend) lookUpName(ctx context.Context, name string) (bfstore.Row, bfcommit.Staged, error) {
	rows, err := b.config.Table.Get(ctx, nameKey(name))
	if err != nil {
		return bfstore.Row{}, bfcommit.Staged{}, err
	}
	if rows[0].Revision == 0 {
		return rows[0], bfcommit.Staged{}, &bfquery.NotStagedError{Name: name}
	}
	stagedRows, err := b.config.Table.Get(ctx, bfcommit.StagedKey(string(rows[0].Value)))
	if err != nil {
		return rows[0], bfcommit.Staged{}, err
	}
	staged, err := bfcommit.DecodeStaged(stagedRows[0])
	if isNotStaged(err) {
		err = &bfquery.NotStagedError{Name: name}
	}
	return rows[0], staged, err
}

func stagedChange(name string, staged bfcommit.Staged) bfquery.StagedChange {
	return bfquery.StagedChange{
		Name: name, ChangeID: staged.ID(), Author: staged.Author(), At: staged.At(), Base: staged.Base(), Ops: staged.Ops(),
	}
}

// StagedList lists the staged changes by name.
func (b *Backend) StagedList(ctx context.Context) ([]bfquery.StagedChange, error) {
	names, err := b.config.Table.Range(ctx, namePrefix, nameEnd, maxStaged)
	if err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(names))
	for _, row := range names {
		keys = append(keys, bfcommit.StagedKey(string(row.Value)))
	}
	rows, err := b.config.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var list []bfquery.StagedChange
	for i, row := range rows {
		staged, err := bfcommit.DecodeStaged(row)
		switch {
		case err == nil:
			list = append(list, stagedChange(names[i].Key[len(namePrefix):], staged))
		case !isNotStaged(err):
			return nil, err
		}
	}
	return list, nil
}

// Discard removes a staged change.
func (b *Backend) Discard(ctx context.Context, name string) error {
	nameRow, staged, err := b.lookUpName(ctx, name)
	if err != nil {
		return err
	}
	err = b.config.Table.Commit(ctx, bfstore.Transaction{
		Conditions: []bfstore.Condition{{Key: nameRow.Key, Revision: nameRow.Revision}},
		Writes: []bfstore.Write{
			{Key: nameRow.Key, Remove: true},
			{Key: bfcommit.StagedKey(staged.ID()), Remove: true},
		},
	})
	var conflict *bfstore.ConflictError
	if errors.As(err, &conflict) {
		return &bfquery.NotStagedError{Name: name}
	}
	return err
}
