package bfbackup

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// faultyStore counts calls, and can be unavailable or lose the responses of writes.
type faultyStore struct {
	*bfstore.MemoryTableStore
	calls                      atomic.Int32
	unavailable, loseResponses bool
}

func (s *faultyStore) List(ctx context.Context, table string) ([]bfstore.Entry, bfstore.Revision, error) {
	s.calls.Add(1)
	if s.unavailable {
		return nil, 0, &bfstore.UnavailableError{Reason: "test"}
	}
	return s.MemoryTableStore.List(ctx, table)
}

func (s *faultyStore) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (bfstore.Revision, error) {
	s.calls.Add(1)
	if s.unavailable {
		return 0, &bfstore.UnavailableError{Reason: "test"}
	}
	revision, err := s.MemoryTableStore.Write(ctx, table, writes...)
	if s.loseResponses {
		return 0, &bfstore.UnknownError{Reason: "test"}
	}
	return revision, err
}

func newNode(s *faultyStore, first bool) (*Backup, *bfquarantine.Book) {
	book := bfquarantine.New("n")
	return New(Config{
		Table: "t", Rows: s, Book: book, FirstStart: first, Timer: bftimer.New(1), Logger: bflog.Discard(),
		Restore: func(records []bfquarantine.Record) { book.Merge(records, time.Now()) },
	}), book
}

func keyOf(name string) bfquarantine.Key {
	return bfquarantine.KeyOf(bfquarantine.Request{Target: name})
}

func hold(book *bfquarantine.Book, name string) {
	for i := range 3 {
		book.Crashed(bfquarantine.CrashOf(fmt.Sprint(name, i)), []bfquarantine.Key{keyOf(name)}, time.Now())
	}
}

// Guards against running quarantined requests again after a restart of the whole fleet.
func TestRestoreAfterFleetRestart(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &faultyStore{MemoryTableStore: bfstore.NewMemoryTableStore()}
	b, book := newNode(s, true)
	for range 5 {
		is.NoErr(b.step(ctx))
	}
	is.Equal(s.calls.Load(), int32(0)) // no store calls while the quarantine is empty
	hold(book, "bad")
	for range 5 {
		is.NoErr(b.step(ctx))
	}
	is.Equal(s.calls.Load(), int32(1))

	restarted, restored := newNode(s, false)
	is.NoErr(restarted.step(ctx))
	is.NoErr(restarted.step(ctx))
	is.Equal(s.calls.Load(), int32(2)) // read once, and not written back
	is.True(restored.View().HasHeld())
	_, held := restored.View().Refuse(keyOf("bad"), time.Now())
	is.True(held)
}

// Guards against an outdated copy that quarantines a cleared request again.
func TestCopyDropsReleasedRequests(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &faultyStore{MemoryTableStore: bfstore.NewMemoryTableStore()}
	b, book := newNode(s, true)
	hold(book, "bad")
	is.NoErr(b.step(ctx))
	is.True(book.Answered(keyOf("bad"), time.Now()))
	is.NoErr(b.step(ctx))
	restarted, restored := newNode(s, false)
	is.NoErr(restarted.step(ctx))
	is.True(!restored.View().HasHeld())
}

// Guards against lost records when the store is unavailable, loses responses, or is written by another node.
func TestStoreFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &faultyStore{MemoryTableStore: bfstore.NewMemoryTableStore()}
	b, book := newNode(s, true)
	hold(book, "bad")
	s.unavailable = true
	is.True(b.step(ctx) != nil)
	s.unavailable, s.loseResponses = false, true
	is.True(b.step(ctx) != nil) // written, but the response is lost
	s.loseResponses = false
	is.NoErr(b.step(ctx)) // read again, and the write is found
	calls := s.calls.Load()
	is.NoErr(b.step(ctx))
	is.Equal(s.calls.Load(), calls)

	other, others := newNode(s, false)
	hold(others, "worse")
	is.NoErr(other.step(ctx))
	hold(book, "third")
	is.True(b.step(ctx) != nil) // conflicts with the other node's write
	is.NoErr(b.step(ctx))
	restarted, restored := newNode(s, false)
	is.NoErr(restarted.step(ctx))
	for _, name := range []string{"bad", "worse", "third"} {
		_, held := restored.View().Refuse(keyOf(name), time.Now())
		is.True(held) // name
	}
}

// Guards against a quarantine that is lost with a restore of the store from an older copy.
func TestCopyIsWrittenAgainAfterARestoreOfTheStore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &faultyStore{MemoryTableStore: bfstore.NewMemoryTableStore()}
	b, book := newNode(s, true)
	b.config.Era = s.Era
	is.NoErr(b.step(ctx))
	backup := s.Backup()
	hold(book, "bad")
	is.NoErr(b.step(ctx))
	s.Restore(backup)
	is.NoErr(b.step(ctx))
	restarted, restored := newNode(s, false)
	is.NoErr(restarted.step(ctx))
	_, held := restored.View().Refuse(keyOf("bad"), time.Now())
	is.True(held)
}

// Guards against a row larger than the platform accepts, and against an undecodable row that is never replaced.
func TestRowSizeAndDecodeErrors(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &faultyStore{MemoryTableStore: bfstore.NewMemoryTableStore()}
	b, book := newNode(s, true)
	for i := range 600 {
		hold(book, fmt.Sprint("bad ", i))
	}
	is.NoErr(b.step(ctx))
	entries, _, err := s.MemoryTableStore.List(ctx, "t")
	is.NoErr(err)
	is.True(len(entries[0].Value) <= maxRowBytes)
	_, err = s.MemoryTableStore.Write(ctx, "t", bfstore.RowWrite{Key: rowKey, Value: []byte("damaged"), Revision: entries[0].Revision})
	is.NoErr(err)
	restarted, restored := newNode(s, false)
	is.True(restarted.step(ctx) != nil)
	is.NoErr(restarted.step(ctx))
	is.True(!restored.View().HasHeld())
}
