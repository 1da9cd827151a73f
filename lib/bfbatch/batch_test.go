package bfbatch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// counted counts the calls that write.
type counted struct {
	*bfstore.MemoryRows
	mu    sync.Mutex
	calls int
}

func (c *counted) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (uint64, error) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	return c.MemoryRows.Write(ctx, table, writes...)
}

func under(t *testing.T, fn func(is *is.I, rows *counted, b *Batcher, group *bfgroup.Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rows := &counted{MemoryRows: bfstore.NewMemoryRows()}
		timer := bftimer.New(1)
		group := bfgroup.New(context.Background())
		group.Go("timer", timer.Run)
		b := New(Parts{Table: "members", Rows: rows, Timer: timer, Logger: bflog.Discard(), Spawn: group.Go})
		fn(is.New(t), rows, b, group)
		group.Cancel()
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}

// write makes writes at once and gives their errors.
func write(group *bfgroup.Group, b *Batcher, writes ...bfstore.RowWrite) []error {
	errs := make([]error, len(writes))
	var done sync.WaitGroup
	for i, w := range writes {
		done.Add(1)
		group.Go("write", func(ctx context.Context) error {
			defer done.Done()
			_, errs[i] = b.Write(ctx, w)
			return nil
		})
	}
	done.Wait()
	return errs
}

// A fleet of 250 starts, and all rows are due at once. They are written in five calls, as
// many as the store takes them in; in fewer the store would refuse them, and each node
// would write its own.
func TestRowsOfAStartAreWrittenTogether(t *testing.T) {
	under(t, func(is *is.I, rows *counted, b *Batcher, group *bfgroup.Group) {
		var writes []bfstore.RowWrite
		for i := range 250 {
			writes = append(writes, bfstore.RowWrite{Key: fmt.Sprint(i), Value: []byte("v")})
		}
		is.NoErr(errors.Join(write(group, b, writes...)...))
		is.Equal(rows.calls, 250/bfstore.MaxWrites)
		entries, _, err := rows.List(context.Background(), "members")
		is.NoErr(err)
		is.Equal(len(entries), 250)
		is.NoErr(errors.Join(write(group, b, bfstore.RowWrite{Key: "late", Value: []byte("v")})...)) // it gathers again
	})
}

// One of three rows is another one by now. None of the three is written: who wrote on
// an old belief is told so only if its row was alone, and all write on their own.
func TestConflictHoldsBackTheBatch(t *testing.T) {
	under(t, func(is *is.I, rows *counted, b *Batcher, group *bfgroup.Group) {
		_, err := rows.Put(context.Background(), "members", "b", []byte("other"), 0)
		is.NoErr(err)
		errs := write(group, b,
			bfstore.RowWrite{Key: "a", Value: []byte("v")}, bfstore.RowWrite{Key: "b", Value: []byte("v")}, bfstore.RowWrite{Key: "c", Remove: true})
		for _, err := range errs {
			var notMade *NotMadeError
			is.True(errors.As(err, &notMade))
		}
		alone := write(group, b, bfstore.RowWrite{Key: "b", Value: []byte("v")})
		var notMade *NotMadeError
		var conflict *bfstore.ConflictError
		is.True(!errors.As(alone[0], &notMade) && errors.As(alone[0], &conflict))
	})
}

// A row is written twice within one batch: the second write waits for the next, where
// its condition decides.
func TestRowIsWrittenOnceInABatch(t *testing.T) {
	under(t, func(is *is.I, rows *counted, b *Batcher, group *bfgroup.Group) {
		errs := write(group, b, bfstore.RowWrite{Key: "a", Value: []byte("1")}, bfstore.RowWrite{Key: "a", Value: []byte("2")})
		made := 0
		for _, err := range errs {
			if err == nil {
				made++
			}
		}
		is.Equal(made, 1)
		is.Equal(rows.calls, 2)
	})
}

// Forty nodes find that a machine is gone, and each has its row removed. That is one
// write, and each of them hears how it ended.
func TestSameWriteIsMadeOnce(t *testing.T) {
	under(t, func(is *is.I, rows *counted, b *Batcher, group *bfgroup.Group) {
		revision, err := rows.Put(context.Background(), "members", "lost", []byte("v"), 0)
		is.NoErr(err)
		var writes []bfstore.RowWrite
		for range 40 {
			writes = append(writes, bfstore.RowWrite{Key: "lost", Remove: true, Revision: revision})
		}
		is.NoErr(errors.Join(write(group, b, writes...)...))
		is.Equal(rows.calls, 1)
	})
}

// A fleet of 600 starts by one node that gathers. It takes as many rows as it may hold; the
// others are told at once to write on their own.
func TestMostWritesThatWait(t *testing.T) {
	under(t, func(is *is.I, rows *counted, b *Batcher, group *bfgroup.Group) {
		var writes []bfstore.RowWrite
		for i := range mostWaiting + 100 {
			writes = append(writes, bfstore.RowWrite{Key: fmt.Sprint(i), Value: []byte("v")})
		}
		refused := 0
		for _, err := range write(group, b, writes...) {
			var notMade *NotMadeError
			if errors.As(err, &notMade) {
				refused++
			}
		}
		is.Equal(refused, 100)
		is.Equal(rows.calls, mostWaiting/bfstore.MaxWrites)
	})
}

// The node that gathers is gone. The write fails at once and not after a timeout, with
// the word that the node is to write itself.
func TestGathererThatIsGone(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	calls := bfpeer.NewCalls(bfpeer.Methods{}, bfpeer.NewTraffic(bfmetric.New()), group)
	began := time.Now()
	_, err = Remote{Calls: calls, Peer: address}.Write(context.Background(), bfstore.RowWrite{Key: "a"})
	var notMade *NotMadeError
	is.True(errors.As(err, &notMade))
	is.True(time.Since(began) < callTimeout)
}

// A node hands its write over, and hears the revision of its row, or that it is another one.
func TestWriteIsHandedOver(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	rows := bfstore.NewMemoryRows()
	b := New(Parts{Table: "members", Rows: rows, Timer: timer, Logger: bflog.Discard(), Spawn: group.Go})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	calls := bfpeer.NewCalls(b.Methods(), bfpeer.NewTraffic(bfmetric.New()), group)
	group.Go("serve", func(ctx context.Context) error { return calls.Serve(ctx, listener) })
	remote := Remote{Calls: calls, Peer: listener.Addr().String()}
	revision, err := remote.Write(context.Background(), bfstore.RowWrite{Key: "a", Value: []byte("v")})
	is.NoErr(err)
	is.True(revision > 0)
	_, err = remote.Write(context.Background(), bfstore.RowWrite{Key: "a", Value: []byte("w")})
	var conflict *bfstore.ConflictError
	is.True(errors.As(err, &conflict))
	_, err = remote.Write(context.Background(), bfstore.RowWrite{Key: "a", Remove: true, Revision: revision})
	is.NoErr(err)
}
