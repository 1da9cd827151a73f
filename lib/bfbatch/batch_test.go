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

// countingRows counts write calls.
type countingRows struct {
	*bfstore.MemoryTableStore
	mu    sync.Mutex
	calls int
}

func (c *countingRows) Write(ctx context.Context, table string, writes ...bfstore.RowWrite) (bfstore.Revision, error) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	return c.MemoryTableStore.Write(ctx, table, writes...)
}

func withBatcher(t *testing.T, fn func(is *is.I, rows *countingRows, b *Batcher, group *bfgroup.Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rows := &countingRows{MemoryTableStore: bfstore.NewMemoryTableStore()}
		timer := bftimer.New(1)
		group := bfgroup.New(context.Background())
		group.Go("timer", timer.Run)
		b := New(Config{Table: "members", Rows: rows, Timer: timer, Logger: bflog.Discard(), Spawn: group.Go})
		fn(is.New(t), rows, b, group)
		group.Cancel()
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}

// write makes concurrent writes and returns their errors.
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

// Guards against batches larger than the store accepts, and against more calls than
// needed, when a fleet of 250 nodes starts at once.
func TestRowsAreWrittenInFullBatches(t *testing.T) {
	withBatcher(t, func(is *is.I, rows *countingRows, b *Batcher, group *bfgroup.Group) {
		var writes []bfstore.RowWrite
		for i := range 250 {
			writes = append(writes, bfstore.RowWrite{Key: fmt.Sprint(i), Value: []byte("v")})
		}
		is.NoErr(errors.Join(write(group, b, writes...)...))
		is.Equal(rows.calls, 250/bfstore.MaxWrites)
		entries, _, err := rows.List(context.Background(), "members")
		is.NoErr(err)
		is.Equal(len(entries), 250)
		is.NoErr(errors.Join(write(group, b, bfstore.RowWrite{Key: "late", Value: []byte("v")})...)) // a new batch is started
	})
}

// Guards against a partial batch after a conflict: no row is written, and only a
// batch of one row reports the conflict itself.
func TestConflictFailsWholeBatch(t *testing.T) {
	withBatcher(t, func(is *is.I, rows *countingRows, b *Batcher, group *bfgroup.Group) {
		_, err := rows.Put(context.Background(), "members", "b", []byte("other"), 0)
		is.NoErr(err)
		errs := write(group, b,
			bfstore.RowWrite{Key: "a", Value: []byte("v")}, bfstore.RowWrite{Key: "b", Value: []byte("v")}, bfstore.RowWrite{Key: "c", Remove: true})
		for _, err := range errs {
			var batchErr *BatchError
			is.True(errors.As(err, &batchErr))
		}
		alone := write(group, b, bfstore.RowWrite{Key: "b", Value: []byte("v")})
		var batchErr *BatchError
		var conflict *bfstore.ConflictError
		is.True(!errors.As(alone[0], &batchErr) && errors.As(alone[0], &conflict))
	})
}

// Guards against two writes of one row in a batch: the second must go into the next
// batch, where its condition is checked.
func TestBatchHoldsOneWritePerRow(t *testing.T) {
	withBatcher(t, func(is *is.I, rows *countingRows, b *Batcher, group *bfgroup.Group) {
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

// Guards against repeated calls when forty nodes remove the row of the same lost
// machine: they share one write and its result.
func TestIdenticalWritesAreMerged(t *testing.T) {
	withBatcher(t, func(is *is.I, rows *countingRows, b *Batcher, group *bfgroup.Group) {
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

// Guards against unbounded pending writes: those above the limit are rejected at once.
func TestPendingWritesAreLimited(t *testing.T) {
	withBatcher(t, func(is *is.I, rows *countingRows, b *Batcher, group *bfgroup.Group) {
		var writes []bfstore.RowWrite
		for i := range maxPending + 100 {
			writes = append(writes, bfstore.RowWrite{Key: fmt.Sprint(i), Value: []byte("v")})
		}
		refused := 0
		for _, err := range write(group, b, writes...) {
			var batchErr *BatchError
			if errors.As(err, &batchErr) {
				refused++
			}
		}
		is.Equal(refused, 100)
		is.Equal(rows.calls, maxPending/bfstore.MaxWrites)
	})
}

// Guards against waiting for the timeout when the batching node is gone.
func TestRemoteUnreachable(t *testing.T) {
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
	var batchErr *BatchError
	is.True(errors.As(err, &batchErr))
	is.True(time.Since(began) < callTimeout)
}

// Guards against a remote write whose revision or conflict is not returned.
func TestRemoteWrite(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	rows := bfstore.NewMemoryTableStore()
	b := New(Config{Table: "members", Rows: rows, Timer: timer, Logger: bflog.Discard(), Spawn: group.Go})
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
