package bfview

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfroster"
)

// TestMain fixes rapid's seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func rowGen() *rapid.Generator[bfroster.Row] {
	return rapid.Custom(func(t *rapid.T) bfroster.Row {
		id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
		return bfroster.Row{
			ID: id, Region: "wien", Domain: "nord", Service: "portal", Peer: "10.0.0." + id,
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
			State:       bfroster.State(rapid.IntRange(0, 3).Draw(t, "state")),
			Target:      bfroster.TargetState(rapid.IntRange(0, 4).Draw(t, "target")),
		}
	})
}

func fleetRow(i, domains int) bfroster.Row {
	domain := i % domains
	return bfroster.Row{
		ID: fmt.Sprintf("asset-vault-%05d", i), Region: fmt.Sprintf("region-%d", domain/3),
		Domain: fmt.Sprintf("wien-domain-%02d", domain), Peer: fmt.Sprintf("10.0.0.%d:7946", i), Incarnation: 1,
	}
}

// Rows of one fleet reach two nodes in different orders, some twice. Both must
// hold the same in the end, and that is what a naive reader of all rows at once
// would keep: the largest row of each member.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfN(rowGen(), 1, 20).Draw(t, "rows")
		again := rapid.Permutation(append(slices.Clone(rows), rows[:len(rows)/2]...)).Draw(t, "again")
		naive := map[string]bfroster.Row{}
		for _, row := range rows {
			if held, found := naive[row.ID]; !found || bfroster.Compare(row, held) > 0 {
				naive[row.ID] = row
			}
		}
		first, second := NewTable(), NewTable()
		for _, row := range rows {
			first.Merge(time.Unix(1, 0), row)
		}
		for _, row := range again {
			second.Merge(time.Unix(2, 0), row)
		}
		for id, want := range naive {
			a, _ := first.Row(bfroster.HashID(id))
			b, _ := second.Row(bfroster.HashID(id))
			if a != want || b != want {
				t.Fatalf("held %v and %v instead of %v", a, b, want)
			}
		}
		if first.total != second.total || first.digests != second.digests {
			t.Fatalf("equal rows, different digests")
		}
	})
}

// Rows change one by one or by the page, and each order shares what it can with
// the one before. Whatever the changes, it must be the order that a naive sort
// of all rows gives, or a caller would be sent to a target that has gone.
func TestOrderIsTheNaiveSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := NewTable()
		order := bfroster.NewOrder(nil)
		rows := map[string]bfroster.Row{}
		for range rapid.IntRange(1, 20).Draw(t, "orders") {
			for range rapid.IntRange(1, 8).Draw(t, "rows") {
				row := fleetRow(rapid.IntRange(0, 30).Draw(t, "member"), 5)
				row.Service = rapid.SampledFrom([]string{"", "portal-core", "asset-vault"}).Draw(t, "service")
				row.State = bfroster.State(rapid.IntRange(0, 3).Draw(t, "state"))
				row.Sequence = rows[row.ID].Sequence + 1
				rows[row.ID] = row
				held.Merge(time.Unix(1, 0), row)
			}
			order = held.NextOrder(order)
			compareOrders(t, order, rows)
		}
	})
}

func compareOrders(t *rapid.T, order *bfroster.Order, rows map[string]bfroster.Row) {
	var present []bfroster.Row
	alive, grouped := 0, 0
	for _, row := range rows {
		if row.State == bfroster.Alive || row.State == bfroster.Suspect {
			present = append(present, row)
		}
	}
	slices.SortFunc(present, func(a, b bfroster.Row) int { return a.Key().Compare(b.Key()) })
	for i, row := range present {
		rank, found := order.Rank(row.ID)
		if !found || rank != i || *order.At(i).Row() != row || order.Search(row.Key()) != i {
			t.Fatalf("%s is not at rank %d", row.ID, i)
		}
		if row.State == bfroster.Alive {
			alive++
		}
		for _, g := range order.Targets(row.Service) {
			if g.Domain() == row.Domain && slices.Contains(g.Members(), order.At(i)) {
				grouped++
			}
		}
	}
	served, services := 0, 0
	for _, row := range present {
		if row.Service != "" {
			served++
		}
	}
	for _, service := range []string{"portal-core", "asset-vault"} {
		for _, g := range order.Targets(service) {
			services += len(g.Members())
		}
	}
	if order.Len() != len(present) || order.Alive() != alive || grouped != served || services != served {
		t.Fatalf("%d members, %d alive, %d and %d in groups; want %d, %d, %d", order.Len(), order.Alive(), grouped, services, len(present), alive, served)
	}
}
