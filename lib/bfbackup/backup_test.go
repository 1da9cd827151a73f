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

// store counts calls, and can be down or lose the answer of a write.
type store struct {
	*bfstore.MemoryRows
	calls      atomic.Int32
	down, lost bool
}

func (s *store) List(ctx context.Context, table string) ([]bfstore.Entry, uint64, error) {
	s.calls.Add(1)
	if s.down {
		return nil, 0, &bfstore.UnavailableError{Reason: "test"}
	}
	return s.MemoryRows.List(ctx, table)
}

func (s *store) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (uint64, error) {
	s.calls.Add(1)
	if s.down {
		return 0, &bfstore.UnavailableError{Reason: "test"}
	}
	revision, err := s.MemoryRows.Write(ctx, table, writes...)
	if s.lost {
		return 0, &bfstore.UnknownError{Reason: "test"}
	}
	return revision, err
}

func newNode(s *store, first bool) (*Backup, *bfquarantine.Book) {
	book := bfquarantine.New("n")
	return New(Parts{
		Table: "t", Rows: s, Book: book, First: first, Timer: bftimer.New(1), Logger: bflog.Discard(),
		Take: func(records []bfquarantine.Record) { book.Merge(records, time.Now()) },
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

// Guards against a fleet whose nodes were all started anew running what it held before.
func TestFleetThatStartsAnewHoldsWhatItHeld(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &store{MemoryRows: bfstore.NewMemoryRows()}
	b, book := newNode(s, true)
	for range 5 {
		is.NoErr(b.step(ctx))
	}
	is.Equal(s.calls.Load(), int32(0)) // nothing is held, nothing is called
	hold(book, "bad")
	for range 5 {
		is.NoErr(b.step(ctx))
	}
	is.Equal(s.calls.Load(), int32(1))

	anew, empty := newNode(s, false)
	is.NoErr(anew.step(ctx))
	is.NoErr(anew.step(ctx))
	is.Equal(s.calls.Load(), int32(2)) // read once, and what it holds is not written again
	is.True(empty.View().HasHeld())
	_, held := empty.View().Refuse(keyOf("bad"), time.Now())
	is.True(held)
}

// Guards against a request that was cleared being held again by an old copy.
func TestCopyFollowsWhatIsHeld(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &store{MemoryRows: bfstore.NewMemoryRows()}
	b, book := newNode(s, true)
	hold(book, "bad")
	is.NoErr(b.step(ctx))
	is.True(book.Answered(keyOf("bad"), time.Now()))
	is.NoErr(b.step(ctx))
	anew, empty := newNode(s, false)
	is.NoErr(anew.step(ctx))
	is.True(!empty.View().HasHeld())
}

// Guards against a store that is away, loses answers, or is written to by another node.
func TestFaultsOfTheStore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &store{MemoryRows: bfstore.NewMemoryRows()}
	b, book := newNode(s, true)
	hold(book, "bad")
	s.down = true
	is.True(b.step(ctx) != nil)
	s.down, s.lost = false, true
	is.True(b.step(ctx) != nil) // written, and the answer lost
	s.lost = false
	is.NoErr(b.step(ctx)) // read again: it is there
	calls := s.calls.Load()
	is.NoErr(b.step(ctx))
	is.Equal(s.calls.Load(), calls)

	other, others := newNode(s, false)
	hold(others, "worse")
	is.NoErr(other.step(ctx))
	hold(book, "third")
	is.True(b.step(ctx) != nil) // the other has written
	is.NoErr(b.step(ctx))
	anew, empty := newNode(s, false)
	is.NoErr(anew.step(ctx))
	for _, name := range []string{"bad", "worse", "third"} {
		_, held := empty.View().Refuse(keyOf(name), time.Now())
		is.True(held) // name
	}
}

// Guards against a row that the platform does not take, and against one of another version.
func TestRowIsBoundedAndChecked(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &store{MemoryRows: bfstore.NewMemoryRows()}
	b, book := newNode(s, true)
	for i := range 600 {
		hold(book, fmt.Sprint("bad ", i))
	}
	is.NoErr(b.step(ctx))
	entries, _, err := s.MemoryRows.List(ctx, "t")
	is.NoErr(err)
	is.True(len(entries[0].Value) <= longestRow)
	_, err = s.MemoryRows.Write(ctx, "t", bfstore.RowWrite{Key: rowKey, Value: []byte("damaged"), Revision: entries[0].Revision})
	is.NoErr(err)
	anew, empty := newNode(s, false)
	is.True(anew.step(ctx) != nil)
	is.NoErr(anew.step(ctx))
	is.True(!empty.View().HasHeld())
}
