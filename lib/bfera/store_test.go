package bfera

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfstore"
)

// interceptedStore runs a function before the answer of a call is returned.
type interceptedStore struct {
	*bfstore.MemoryTableStore
	before func()
}

func (s *interceptedStore) intercept() {
	if s.before != nil {
		s.before()
		s.before = nil
	}
}

func (s *interceptedStore) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (bfstore.Revision, error) {
	s.intercept()
	return s.MemoryTableStore.Write(ctx, table, writes...)
}

func (s *interceptedStore) List(ctx context.Context, table string) ([]bfstore.Entry, bfstore.Revision, error) {
	entries, revision, err := s.MemoryTableStore.List(ctx, table)
	s.intercept()
	return entries, revision, err
}

const table = "t"

func newStore() (*interceptedStore, *Store) {
	rows := &interceptedStore{MemoryTableStore: bfstore.NewMemoryTableStore()}
	return rows, New(rows, bflog.Discard())
}

// put writes a row that does not exist.
func put(is *is.I, s bfstore.TableStore, key, value string) bfstore.Revision {
	is.Helper()
	written, err := s.Write(context.Background(), table, bfstore.RowWrite{Key: key, Value: []byte(value)})
	is.NoErr(err)
	return written
}

// Guards against a feed that continues from a number which a restored store has assigned again: it
// reports no lost history and lacks the rows that changed before that number.
func TestFeedDoesNotContinueInAnotherEra(t *testing.T) {
	is := is.New(t)
	rows, s := newStore()
	put(is, s, "a", "1")
	backup := rows.Backup()
	held := put(is, s, "b", "lost")
	rows.Restore(backup)
	put(is, rows, "c", "new") // has the number that b had
	put(is, rows, "d", "new")

	entries, _, err := rows.Changes(context.Background(), table, held, 0)
	is.NoErr(err)
	is.Equal(len(entries), 1) // the store itself skips c

	_, _, err = s.Changes(context.Background(), table, held, 0)
	var dropped *bfstore.HistoryError
	is.True(errors.As(err, &dropped))
	entries, revision, err := s.List(context.Background(), table)
	is.NoErr(err)
	is.Equal(len(entries), 3)
	_, _, err = s.Changes(context.Background(), table, revision, 0)
	is.NoErr(err)
}

// Guards against a delayed answer from before a restore, which would bring back lost rows.
func TestAnswerOfAnEarlierEraIsDropped(t *testing.T) {
	is := is.New(t)
	rows, s := newStore()
	put(is, s, "a", "1")
	rows.before = func() { s.Observe(2) } // learned from another node while the answer is on its way
	_, _, err := s.List(context.Background(), table)
	var unavailable *bfstore.UnavailableError
	is.True(errors.As(err, &unavailable))
	is.Equal(s.Era(), uint64(2))
	s.Observe(1)
	is.Equal(s.Era(), uint64(2)) // an era never goes back
}

// Guards against a write whose condition, a revision from before a restore, fits by chance the
// row of the restored store.
func TestConditionOfAnEarlierEraIsAConflict(t *testing.T) {
	is := is.New(t)
	rows, s := newStore()
	backup := rows.Backup()
	held := put(is, s, "a", "1")
	rows.Restore(backup)
	put(is, rows, "a", "of another writer")
	_, _, err := s.List(context.Background(), table)
	is.NoErr(err)
	_, err = s.Write(context.Background(), table, bfstore.RowWrite{Key: "a", Remove: true, Revision: held})
	var conflict *bfstore.ConflictError
	is.True(errors.As(err, &conflict))
	entries, _, err := rows.List(context.Background(), table)
	is.NoErr(err)
	is.Equal(string(entries[0].Value), "of another writer")
}

// Guards against a write that counts as made although the store was restored while it was on its
// way: its condition may have fit by chance.
func TestWriteDuringARestoreIsUnknown(t *testing.T) {
	is := is.New(t)
	rows, s := newStore()
	held := put(is, s, "a", "1")
	rows.before = func() { rows.Restore(rows.Backup()) }
	_, err := s.Write(context.Background(), table, bfstore.RowWrite{Key: "a", Value: []byte("2"), Revision: held})
	var unknown *bfstore.UnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(s.Era(), uint64(2))
}

// Guards against a feed that is held open over a restore and then returns rows of the new era.
func TestFeedHeldOverARestoreIsRestarted(t *testing.T) {
	is := is.New(t)
	rows, s := newStore()
	held := put(is, s, "a", "1")
	backup := rows.Backup()
	time.AfterFunc(10*time.Millisecond, func() {
		rows.Restore(backup)
		put(is, rows, "b", "1")
	})
	_, _, err := s.Changes(context.Background(), table, held, 5*time.Second)
	var dropped *bfstore.HistoryError
	is.True(errors.As(err, &dropped))
}
