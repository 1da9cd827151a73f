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

// TestMain fixes rapid's seed so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func rowGenerator() *rapid.Generator[bfroster.Row] {
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

// Guards against views that diverge: rows merged in different orders, some twice,
// must give the same table, with the largest row of each member.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfN(rowGenerator(), 1, 20).Draw(t, "rows")
		permuted := rapid.Permutation(append(slices.Clone(rows), rows[:len(rows)/2]...)).Draw(t, "again")
		expected := map[string]bfroster.Row{}
		for _, row := range rows {
			if held, found := expected[row.ID]; !found || bfroster.Compare(row, held) > 0 {
				expected[row.ID] = row
			}
		}
		first, second := NewTable(), NewTable()
		for _, row := range rows {
			first.Merge(time.Unix(1, 0), row)
		}
		for _, row := range permuted {
			second.Merge(time.Unix(2, 0), row)
		}
		for id, want := range expected {
			a, _ := first.Row(bfroster.HashID(id))
			b, _ := second.Row(bfroster.HashID(id))
			if a != want || b != want {
				t.Fatalf("stored %v and %v, want %v", a, b, want)
			}
		}
		if first.digest != second.digest || first.cellDigests != second.cellDigests {
			t.Fatalf("digests differ for equal rows")
		}
	})
}

// Guards against stale entries in an incrementally built order, which would route
// requests to departed targets: it must equal a full sort of all rows.
func TestOrderMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		order := bfroster.NewOrder(nil)
		rows := map[string]bfroster.Row{}
		for range rapid.IntRange(1, 20).Draw(t, "orders") {
			for range rapid.IntRange(1, 8).Draw(t, "rows") {
				row := fleetRow(rapid.IntRange(0, 30).Draw(t, "member"), 5)
				row.Service = rapid.SampledFrom([]string{"", "portal-core", "asset-vault"}).Draw(t, "service")
				row.State = bfroster.State(rapid.IntRange(0, 3).Draw(t, "state"))
				row.Sequence = rows[row.ID].Sequence + 1
				rows[row.ID] = row
				table.Merge(time.Unix(1, 0), row)
			}
			order = table.NextOrder(order)
			checkOrder(t, order, rows)
		}
	})
}

func checkOrder(t *rapid.T, order *bfroster.Order, rows map[string]bfroster.Row) {
	var present []bfroster.Row
	alive, inDomainGroups := 0, 0
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
				inDomainGroups++
			}
		}
	}
	withService, inServiceGroups := 0, 0
	for _, row := range present {
		if row.Service != "" {
			withService++
		}
	}
	for _, service := range []string{"portal-core", "asset-vault"} {
		for _, g := range order.Targets(service) {
			inServiceGroups += len(g.Members())
		}
	}
	if order.Len() != len(present) || order.Alive() != alive || inDomainGroups != withService || inServiceGroups != withService {
		t.Fatalf("%d members, %d alive, %d and %d in groups; want %d, %d, %d", order.Len(), order.Alive(), inDomainGroups, inServiceGroups, len(present), alive, withService)
	}
}
