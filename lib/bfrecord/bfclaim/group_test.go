package bfclaim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

func newMemory() *bfstore.Memory { return bfstore.NewMemory() }

// Guards against conflicts on some rows of a batch failing its other commits.
func TestBatchConflicts(t *testing.T) {
	is := is.New(t)
	table := newMemory()
	batcher := NewBatcher[int](5*time.Millisecond, 100)
	for i := range 8 {
		commit := firstCommit(i)
		batcher.Add(start, i, commit)
		if i%3 == 0 {
			other := bfstore.Transaction{Writes: []bfstore.Write{{Key: commit.Key(), Value: []byte("x")}}}
			is.NoErr(table.Commit(context.Background(), other))
		}
	}
	// A resend of the first key must go into another transaction.
	batcher.Add(start, 8, firstCommit(0))
	_, ok := batcher.Take(start.Add(4 * time.Millisecond))
	is.True(!ok)
	batch, ok := batcher.Take(start.Add(5 * time.Millisecond))
	is.True(ok)
	is.Equal(batch.Len(), 8)
	is.Equal(batcher.Len(), 1)
	statuses, transactions := runBatches(table, batch)
	for i := range 8 {
		is.Equal(statuses[i] == commitConflicted, i%3 == 0)
		is.Equal(statuses[i] == commitApplied, i%3 != 0)
	}
	// Two batch transactions end in conflicts; the remaining six commits go one by one.
	is.Equal(transactions, 8)
}

// firstCommit is the first write of a claim of the i-th key.
func firstCommit(i int) Commit {
	id := bfrecord.ID{Entry: bfrecord.NodeIncarnation{Instance: "entry", Incarnation: 1}, Counter: uint64(i) + 1}
	_, claim := newNode("a", 1).arrive(start, id, fmt.Sprint("stem-", i), 1)
	return claim.Next(start, Start{}).(Commit)
}

func runBatches(table *bfstore.Memory, first *Batch[int]) (statuses map[int]commitStatus, transactions int) {
	statuses = map[int]commitStatus{}
	for batches := []*Batch[int]{first}; len(batches) > 0; batches = batches[1:] {
		transactions++
		ended, retries := batches[0].Complete(table.Commit(context.Background(), batches[0].Transaction()))
		for _, e := range ended {
			statuses[e.Owner()], _, _ = classify(e.Event().Err)
		}
		batches = append(batches, retries...)
	}
	return statuses, transactions
}

// Guards against changes of the transaction rates that batching achieves, for claims
// and records, by request rate, number of nodes and batching windows (Poisson arrivals).
func TestBatchingTransactionRates(t *testing.T) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%-34s %9s %9s %9s %9s %9s\n", "transactions a second", "none", "5ms/5ms", "20ms/20ms", "20ms/1s", "20ms/10s")
	rows := []struct {
		name  string
		rate  float64
		nodes int
	}{
		{"1000/s over 25000 nodes", 1000, 25_000},
		{"1000/s over 62 nodes, 2 services", 1000, 62},
		{"1000/s over 6 nodes", 1000, 6},
		{"100/s over 62 nodes, 2 services", 100, 62},
		{"40/s over 6 nodes, order-desk", 40, 6},
	}
	for _, row := range rows {
		line := fmt.Sprintf("%-34s %9.0f", row.name, 2*row.rate)
		for _, windows := range [][2]time.Duration{
			{5 * time.Millisecond, 5 * time.Millisecond}, {20 * time.Millisecond, 20 * time.Millisecond},
			{20 * time.Millisecond, time.Second}, {20 * time.Millisecond, 10 * time.Second},
		} {
			rate := row.rate / float64(row.nodes)
			perNode := transactionRate(rate, windows[0]) + transactionRate(rate, windows[1])
			line += fmt.Sprintf(" %9.0f", perNode*float64(row.nodes))
		}
		fmt.Fprintln(&out, line)
	}
	const golden = "testdata/grouping.golden"
	if *update {
		if err := os.WriteFile(golden, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil || out.String() != string(want) {
		t.Errorf("%v, got:\n%swant:\n%s", err, out.String(), strings.TrimSpace(string(want)))
	}
}

// transactionRate returns the batches per second of one node's Batcher at rate commits per second.
func transactionRate(rate float64, window time.Duration) float64 {
	const commits, maxBatch = 4000, 64
	random := rand.New(rand.NewPCG(1, 2))
	batcher := NewBatcher[int](window, maxBatch)
	now := start
	batches := 0
	for i := range commits {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		for {
			at, waiting := batcher.Due()
			if !waiting || at.After(now) {
				break
			}
			if _, taken := batcher.Take(at); taken {
				batches++
			}
		}
		batcher.Add(now, i, Commit{key: fmt.Sprint(i)})
	}
	return float64(batches) / now.Sub(start).Seconds()
}
