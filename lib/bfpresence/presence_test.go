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

// store counts writes. It can be down, or make a write and lose its reply.
type store struct {
	*bfstore.MemoryTableStore
	mu        sync.Mutex
	down      bool
	loseReply bool
	writes    int
}

func (s *store) set(down, loseReply bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.loseReply = down, loseReply
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *store) write(perform func() error) error {
	s.mu.Lock()
	s.writes++
	down, loseReply := s.down, s.loseReply
	s.mu.Unlock()
	if down {
		return &bfstore.UnavailableError{Reason: "test"}
	}
	err := perform()
	if loseReply {
		return &bfstore.UnknownError{Reason: "test"}
	}
	return err
}

func (s *store) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (revision bfstore.Revision, err error) {
	err = s.write(func() (err error) {
		revision, err = s.MemoryTableStore.Write(ctx, table, writes...)
		return err
	})
	return revision, err
}

// row returns the row, with Removed set if it does not exist.
func (s *store) row() bfstore.Entry {
	entries, _, _ := s.List(context.Background(), "members")
	if len(entries) == 0 {
		return bfstore.Entry{Key: "self", Removed: true}
	}
	return entries[0]
}

func runPresence(t *testing.T, fn func(is *is.I, s *store, p *Presence)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &store{MemoryTableStore: bfstore.NewMemoryTableStore()}
		timer := bftimer.New(1)
		p := New(Config{Table: "members", Key: "self", Rows: s, Timer: timer, Logger: bflog.Discard(), Metrics: bfmetric.New()})
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
	runPresence(t, func(is *is.I, s *store, p *Presence) {
		p.SetDesired([]byte("here"))
		synctest.Wait()
		is.Equal(s.count(), 0) // the table has not been read yet
		p.Observe(s.row())
		synctest.Wait()
		is.Equal(string(s.row().Value), "here")
		p.SetDesired([]byte("here"))
		p.Observe(s.row())
		synctest.Wait()
		is.Equal(s.count(), 1)
		p.SetDesired(nil)
		synctest.Wait()
		is.True(s.row().Removed)
		is.Equal(s.count(), 2)
		is.True(p.InSync())
	})
}

// A node restarts beside a running target while its row still exists. It must not write.
func TestRestartWritesNothing(t *testing.T) {
	runPresence(t, func(is *is.I, s *store, p *Presence) {
		_, err := s.MemoryTableStore.Put(context.Background(), "members", "self", []byte("here"), 0)
		is.NoErr(err)
		p.Observe(s.row())
		synctest.Wait()
		is.True(!s.row().Removed) // no desired value is set, so nothing is removed
		p.SetDesired([]byte("here"))
		synctest.Wait()
		is.Equal(s.count(), 0)
	})
}

// The store is down when the target becomes ready. The row must be written within two seconds
// of its recovery.
func TestStoreOutage(t *testing.T) {
	runPresence(t, func(is *is.I, s *store, p *Presence) {
		p.Observe(s.row())
		s.set(true, false)
		p.SetDesired([]byte("here"))
		time.Sleep(time.Minute)
		is.True(s.count() < 100)
		s.set(false, false)
		time.Sleep(2 * time.Second)
		is.Equal(string(s.row().Value), "here")
	})
}

// The reply to a successful write is lost, then the target leaves. The row must be removed
// although the node never received its revision.
func TestLostReplyThenRemoval(t *testing.T) {
	runPresence(t, func(is *is.I, s *store, p *Presence) {
		p.Observe(s.row())
		s.set(false, true)
		p.SetDesired([]byte("here"))
		synctest.Wait()
		s.set(false, false)
		p.SetDesired(nil)
		p.Observe(s.row()) // as reported by the table's follower
		time.Sleep(2 * time.Second)
		is.True(s.row().Removed)
		// The store makes the lost write a second time; its condition no longer holds.
		_, err := s.MemoryTableStore.Put(context.Background(), "members", "self", []byte("late"), 1)
		is.True(err != nil)
	})
}

// Another node considers this one dead and removes its row while its target works. The row must
// be restored.
func TestRowRemovedByPeerIsRestored(t *testing.T) {
	runPresence(t, func(is *is.I, s *store, p *Presence) {
		p.Observe(s.row())
		p.SetDesired([]byte("here"))
		synctest.Wait()
		is.NoErr(s.MemoryTableStore.Remove(context.Background(), "members", "self", s.row().Revision))
		p.Observe(bfstore.Entry{Key: "self", Removed: true, Revision: bfstore.RevisionOf(1, 2)})
		synctest.Wait()
		is.Equal(string(s.row().Value), "here")
	})
}

// The table's follower reports a state of the row from before this node's own write. It must be
// ignored, or the row would be written again and again.
func TestStaleObservationIsIgnored(t *testing.T) {
	runPresence(t, func(is *is.I, s *store, p *Presence) {
		before := s.row()
		p.Observe(before)
		p.SetDesired([]byte("here"))
		synctest.Wait()
		is.Equal(s.count(), 1)
		p.Observe(before)
		synctest.Wait()
		is.Equal(s.count(), 1)
	})
}

// The batching node has failed, or does not report whether it made the write. The row must be
// written exactly once.
func TestFailedBatchFallsBackToDirectWrite(t *testing.T) {
	for _, performed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := &store{MemoryTableStore: bfstore.NewMemoryTableStore()}
			timer := bftimer.New(1)
			p := New(Config{
				Table: "members", Key: "self", Rows: s, Timer: timer, Logger: bflog.Discard(), Metrics: bfmetric.New(),
				WriteBatched: func(ctx context.Context, write bfstore.RowWrite) (bfstore.Revision, error) {
					if performed {
						// The second attempt is a conflict, since the first was made.
						_, _ = s.MemoryTableStore.Write(ctx, "members", write)
					}
					return 0, context.DeadlineExceeded
				},
			})
			group := bfgroup.New(context.Background())
			group.Go("timer", timer.Run)
			group.Go("presence", p.Run)
			p.Observe(bfstore.Entry{Key: "self", Removed: true})
			p.SetDesired([]byte("here"))
			time.Sleep(time.Second)
			is.Equal(string(s.row().Value), "here")
			is.Equal(s.row().Revision, bfstore.RevisionOf(1, 1))
			is.True(s.count() <= 2)
			group.Cancel()
			is.NoErr(group.Wait())
		})
	}
}

// Guards against a node that counts as a member to itself after the others have dropped it.
func TestWithdrawnRow(t *testing.T) {
	runPresence(t, func(is *is.I, s *store, p *Presence) {
		is.True(!p.Withdrawn())
		p.Observe(s.row())
		p.SetDesired(nil)
		synctest.Wait()
		is.True(!p.Withdrawn()) // the row never existed: the node is new
		p.SetDesired([]byte("here"))
		synctest.Wait()
		is.True(!p.Withdrawn())
		s.set(true, false)
		p.SetDesired(nil)
		time.Sleep(time.Second)
		is.True(!p.Withdrawn()) // the other nodes still read the row
		s.set(false, false)
		time.Sleep(2 * time.Second)
		is.True(s.row().Removed)
		is.True(p.Withdrawn())
		p.SetDesired([]byte("here again"))
		is.True(!p.Withdrawn())
	})
}
