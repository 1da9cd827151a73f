package bfspan

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfroster"
)

// TestMain sets a fixed seed for rapid, so that the test is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func newOrder(size, domains int) *bfroster.Order {
	var rows []bfroster.Row
	for i := range size {
		domain := i % domains
		rows = append(rows, bfroster.Row{
			ID: fmt.Sprintf("n%05d", i), Region: fmt.Sprintf("region-%02d", domain*10/26),
			Domain: fmt.Sprintf("domain-%02d", domain), Peer: "10.0.0.1:1", Incarnation: 1,
		})
	}
	return bfroster.NewOrder(rows)
}

// The parts of a split, decoded with the relay's key, cover each other member of the span
// exactly once. Guards against members that receive a broadcast twice or never.
func TestSplitCoversEachMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 120).Draw(t, "size")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		order := newOrder(size, rapid.IntRange(1, 9).Draw(t, "domains"))
		fanout := rapid.IntRange(2, 9).Draw(t, "fanout")
		received := map[uint64]int{}
		var cover func(self bfroster.Key, over Span)
		cover = func(self bfroster.Key, over Span) {
			received[self.Hash]++
			for _, part := range (Splitter{Order: order, Self: self, Fanout: fanout}).Split(over) {
				low, high := part.Ranks(order)
				relay := order.At(low + rng.IntN(high-low)).Key()
				cover(relay, part.Range(relay).Span(relay))
			}
		}
		cover(order.At(rng.IntN(size)).Key(), Span{})
		for rank := range size {
			if received[order.At(rank).Key().Hash] != 1 {
				t.Fatalf("member %d of %d was reached %d times", rank, size, received[order.At(rank).Key().Hash])
			}
		}
	})
}

// BenchmarkTree builds the broadcast tree of 25,000 members and reports its shape.
func BenchmarkTree(b *testing.B) {
	const size = 25_000
	rng := rand.New(rand.NewPCG(9, 3))
	order := newOrder(size, 26)
	for _, fanout := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("fanout=%d", fanout), func(b *testing.B) {
			deepest, widest, origin, bounds, crossings, edges := 0, 0, 0, 0, 0, 0
			var cover func(self bfroster.Key, over Span, depth int)
			cover = func(self bfroster.Key, over Span, depth int) {
				deepest = max(deepest, depth)
				parts := Splitter{Order: order, Self: self, Fanout: fanout}.Split(over)
				if depth == 0 {
					origin = len(parts)
				}
				widest = max(widest, len(parts))
				for _, part := range parts {
					low, high := part.Ranks(order)
					relay := order.At(low + rng.IntN(high-low)).Key()
					data, err := cbor.Marshal(part.Range(relay))
					if err != nil {
						b.Fatal(err)
					}
					bounds += len(data)
					edges++
					if relay.Domain != self.Domain {
						crossings++
					}
					cover(relay, part, depth+1)
				}
			}
			for b.Loop() {
				deepest, widest, origin, bounds, crossings, edges = 0, 0, 0, 0, 0, 0
				cover(order.At(7).Key(), Span{}, 0)
			}
			b.ReportMetric(float64(deepest), "depth")
			b.ReportMetric(float64(origin), "origin-degree")
			b.ReportMetric(float64(widest), "most-degree")
			b.ReportMetric(float64(crossings), "crossings")
			b.ReportMetric(float64(bounds)/float64(edges), "B-range/push")
			b.ReportMetric(float64(edges), "pushes")
		})
	}
}
