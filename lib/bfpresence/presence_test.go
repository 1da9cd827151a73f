package bfpresence

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// store counts writes and can be down, or perform a write and lose its answer.
type store struct {
	*bfstore.MemoryRows
	mu     sync.Mutex
	down   bool
	lost   bool
	writes int
}

func (s *store) set(down, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.lost = down, lost
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *store) write(perform func() error) error {
	s.mu.Lock()
	s.writes++
	down, lost := s.down, s.lost
	s.mu.Unlock()
	if down {
		return &bfstore.UnavailableError{Reason: "test"}
	}
	err := perform()
	if lost {
		return &bfstore.UnknownError{Reason: "test"}
	}
	return err
}

func (s *store) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (revision uint64, err error) {
	err = s.write(func() (err error) {
		revision, err = s.MemoryRows.Write(ctx, table, writes...)
		return err
	})
	return revision, err
}

// row is the row as it stands, "" where there is none.
func (s *store) row() bfstore.Entry {
	entries, _, _ := s.List(context.Background(), "members")
	if len(entries) == 0 {
		return bfstore.Entry{Key: "self", Removed: true}
	}
	return entries[0]
}

func under(t *testing.T, fn func(is *is.I, s *store, p *Presence)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &store{MemoryRows: bfstore.NewMemoryRows()}
		timer := bftimer.New(1)
		p := New(Parts{Table: "members", Key: "self", Rows: s, Timer: timer, Logger: bflog.Discard(), Metrics: bfmetric.New()})
		group := bfgroup.New(context.Background())
		group.Go("timer", timer.Run)
		group.Go("presence", p.Run)
		fn(is.New(t), s, p)
		group.Cancel()
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestOneWriteForEachChange(t *testing.T) {
	under(t, func(is *is.I, s *store, p *Presence) {
		p.Want([]byte("here"))
		synctest.Wait()
		is.Equal(s.count(), 0) // what the table holds is not known yet
		p.Seen(s.row())
		synctest.Wait()
		is.Equal(string(s.row().Value), "here")
		p.Want([]byte("here"))
		p.Seen(s.row())
		synctest.Wait()
		is.Equal(s.count(), 1)
		p.Want(nil)
		synctest.Wait()
		is.True(s.row().Removed)
		is.Equal(s.count(), 2)
		is.True(p.Settled())
	})
}

// A node starts beside a target that runs; its row still stands from before.
func TestRestartWritesNothing(t *testing.T) {
	under(t, func(is *is.I, s *store, p *Presence) {
		_, err := s.MemoryRows.Put(context.Background(), "members", "self", []byte("here"), 0)
		is.NoErr(err)
		p.Seen(s.row())
		synctest.Wait()
		is.True(!s.row().Removed) // nothing was decided, so nothing is removed
		p.Want([]byte("here"))
		synctest.Wait()
		is.Equal(s.count(), 0)
	})
}

// The store is away when the target becomes ready, and returns. The row is due
// within two seconds of that.
func TestStoreAway(t *testing.T) {
	under(t, func(is *is.I, s *store, p *Presence) {
		p.Seen(s.row())
		s.set(true, false)
		p.Want([]byte("here"))
		time.Sleep(time.Minute)
		is.True(s.count() < 100)
		s.set(false, false)
		time.Sleep(2 * time.Second)
		is.Equal(string(s.row().Value), "here")
	})
}

// A write takes effect and its answer is lost; then the target leaves. The row
// must go, though the node never learned its revision from the write.
func TestLostAnswerThenDeparture(t *testing.T) {
	under(t, func(is *is.I, s *store, p *Presence) {
		p.Seen(s.row())
		s.set(false, true)
		p.Want([]byte("here"))
		synctest.Wait()
		s.set(false, false)
		p.Want(nil)
		p.Seen(s.row()) // the table's follower brings the row
		time.Sleep(2 * time.Second)
		is.True(s.row().Removed)
		// The store performs the lost write once more, later; its condition no longer holds.
		_, err := s.MemoryRows.Put(context.Background(), "members", "self", []byte("late"), 1)
		is.True(err != nil)
	})
}

// Someone takes the node for gone and removes its row while its target works.
func TestRowRemovedByOthersComesBack(t *testing.T) {
	under(t, func(is *is.I, s *store, p *Presence) {
		p.Seen(s.row())
		p.Want([]byte("here"))
		synctest.Wait()
		is.NoErr(s.MemoryRows.Remove(context.Background(), "members", "self", s.row().Revision))
		p.Seen(bfstore.Entry{Key: "self", Removed: true, Revision: 2})
		synctest.Wait()
		is.Equal(string(s.row().Value), "here")
	})
}

// The table's follower brings a state of the row from before this node's own
// write. Taken for the present one, the row would be written again and again.
func TestOldStateOfTheRowIsPassedOver(t *testing.T) {
	under(t, func(is *is.I, s *store, p *Presence) {
		before := s.row()
		p.Seen(before)
		p.Want([]byte("here"))
		synctest.Wait()
		is.Equal(s.count(), 1)
		p.Seen(before)
		synctest.Wait()
		is.Equal(s.count(), 1)
	})
}

// The node that writes rows for all is gone, or does not say how the write ended: it may
// have been made. The row is written alone, and neither twice nor not at all.
func TestRowIsWrittenAloneWhereNobodyGathers(t *testing.T) {
	for _, made := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &store{MemoryRows: bfstore.NewMemoryRows()}
			timer := bftimer.New(1)
			p := New(Parts{
				Table: "members", Key: "self", Rows: s, Timer: timer, Logger: bflog.Discard(), Metrics: bfmetric.New(),
				Together: func(ctx context.Context, write bfstore.RowWrite) (uint64, error) {
					if made {
						// The second time it is a conflict: the first was made.
						_, _ = s.MemoryRows.Write(ctx, "members", write)
					}
					return 0, context.DeadlineExceeded
				},
			})
			group := bfgroup.New(context.Background())
			group.Go("timer", timer.Run)
			group.Go("presence", p.Run)
			p.Seen(bfstore.Entry{Key: "self", Removed: true})
			p.Want([]byte("here"))
			time.Sleep(time.Second)
			is.Equal(string(s.row().Value), "here")
			is.Equal(s.row().Revision, uint64(1))
			is.True(s.count() <= 2)
			group.Cancel()
			is.NoErr(group.Wait())
		})
	}
}
