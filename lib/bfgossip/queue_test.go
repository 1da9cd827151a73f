package bfgossip

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfroster"
)

// TestMain fixes rapid's seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against a lossy encoding of packed members, and against a truncated one
// that decodes to other members.
func TestLossRoundTrip(t *testing.T) {
	members := rapid.SliceOf(rapid.Custom(func(t *rapid.T) LostMember {
		return LostMember{
			Hash: rapid.Uint64().Draw(t, "hash"), Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
		}
	}))
	rapid.Check(t, func(t *rapid.T) {
		var loss Loss
		packed := members.Draw(t, "members")
		for _, m := range packed {
			loss.Add(m)
		}
		got, err := loss.Members()
		if err != nil || !slices.Equal(got, packed) {
			t.Fatalf("%v, %v; want %v", got, err, packed)
		}
		loss.Packed = loss.Packed[:rapid.IntRange(0, len(loss.Packed)).Draw(t, "cut")]
		if got, err := loss.Members(); err == nil && !slices.Equal(got, packed[:len(got)]) {
			t.Fatalf("cut: %v of %v", got, packed)
		}
	})
}

// Guards against datagrams over the budget, and against changes that are sent more
// or less often than the limit.
func TestQueueSendsEachChangeUpToLimitWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows, queue := map[uint64]bfroster.Row{}, NewQueue()
		for i := range rapid.IntRange(0, 20).Draw(t, "rows") {
			row := bfroster.Row{ID: string(rune('a' + i)), Peer: "10.0.0.1:1", Incarnation: 1, Domain: "north", Service: "portal-core"}
			row.State = bfroster.State(rapid.IntRange(0, 3).Draw(t, "state"))
			hash := bfroster.HashID(row.ID)
			rows[hash] = row
			queue.Add(hash, rapid.Bool().Draw(t, "whole"))
		}
		find := func(hash uint64) (bfroster.Row, bool) { row, found := rows[hash]; return row, found }
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		budget := rapid.IntRange(150, 600).Draw(t, "budget")
		sent := map[uint64]int{}
		for range limit * (len(rows) + 1) {
			var news News
			queue.Pack(find, &news, budget, limit)
			if size := EncodedSize(news) - EncodedSize(News{}); size > budget+8 {
				t.Fatalf("%d bytes of news in a budget of %d", size, budget)
			}
			countNews(t, sent, news)
		}
		for hash := range rows {
			if sent[hash] != limit || queue.Len() != 0 {
				t.Fatalf("told %d times instead of %d, %d changes left", sent[hash], limit, queue.Len())
			}
		}
	})
}

func countNews(t *rapid.T, sent map[uint64]int, news News) {
	for _, row := range news.Rows {
		sent[bfroster.HashID(row.ID)]++
	}
	for _, mark := range news.Marks {
		sent[mark.Hash]++
	}
	for _, loss := range news.Losses {
		members, err := loss.Members()
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range members {
			sent[m.Hash]++
		}
	}
}
