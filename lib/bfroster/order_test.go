package bfroster

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed to make the tests deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func keyGen() *rapid.Generator[Key] {
	names := rapid.SampledFrom([]string{"a", "a\x00", "b"})
	return rapid.Custom(func(t *rapid.T) Key {
		hash := rapid.SampledFrom([]uint64{0, 1, 7, math.MaxUint64 - 1, math.MaxUint64})
		return Key{Region: names.Draw(t, "region"), Domain: names.Draw(t, "domain"), Hash: hash.Draw(t, "hash")}
	})
}

// Nodes split the order at the ends of keys, domains and regions. Guards against a key between
// an end and the next range, whose member would receive no messages.
func TestRangeEndsLeaveNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k, o := keyGen().Draw(t, "k"), keyGen().Draw(t, "o")
		inRegion := o.Region == k.Region
		inDomain := inRegion && o.Domain == k.Domain
		for name, want := range map[string]struct {
			end    Key
			inside bool
		}{
			"key": {k.After(), o == k}, "domain": {k.DomainEnd(), inDomain}, "region": {k.RegionEnd(), inRegion},
		} {
			after := o.Compare(k) > 0 && !want.inside
			if got := o.Compare(want.end) >= 0; got != after {
				t.Fatalf("%+v is after the end of the %s of %+v: %v", o, name, k, got)
			}
		}
		if start := k.DomainStart(); start.Compare(k) > 0 || inDomain && start.Compare(o) > 0 {
			t.Fatalf("domain start %+v is after a key of the domain", start)
		}
	})
}

// Nodes merge the same rows in different sequences, and converge only if Compare is a total
// order that treats no two different rows as equal.
func TestCompareIsATotalOrder(t *testing.T) {
	rows := rapid.Custom(func(t *rapid.T) Row {
		return Row{
			ID: "a", Domain: rapid.SampledFrom([]string{"", "b"}).Draw(t, "domain"), Sequence: rapid.Uint64Range(0, 1).Draw(t, "sequence"),
			State: State(rapid.IntRange(0, 3).Draw(t, "state")), Slots: rapid.Uint32Range(0, 1).Draw(t, "slots"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := rows.Draw(t, "a"), rows.Draw(t, "b"), rows.Draw(t, "c")
		if Compare(a, b) != -Compare(b, a) || (Compare(a, b) == 0) != (a == b) {
			t.Fatalf("not antisymmetric: %v and %v", a, b)
		}
		if Compare(a, b) <= 0 && Compare(b, c) <= 0 && Compare(a, c) > 0 {
			t.Fatalf("not transitive: %v, %v and %v", a, b, c)
		}
	})
}

// Members change state, service and domain, join and leave. An order built incrementally must
// equal one built from all rows.
func TestNextEqualsRebuiltOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows, order := map[uint64]Row{}, NewOrder(nil)
		for range rapid.IntRange(1, 12).Draw(t, "orders") {
			changed := map[uint64]*Member{}
			for range rapid.IntRange(1, 6).Draw(t, "rows") {
				row := Row{
					ID: fmt.Sprint(rapid.IntRange(0, 15).Draw(t, "member")), State: State(rapid.IntRange(0, 3).Draw(t, "state")),
					Domain:  rapid.SampledFrom([]string{"north", "south"}).Draw(t, "domain"),
					Service: rapid.SampledFrom([]string{"", "portal-core", "asset-vault"}).Draw(t, "service"),
				}
				rows[HashID(row.ID)] = row
				changed[HashID(row.ID)] = nil
			}
			order = order.Next(changeTo(rows, changed))
			compareOrders(t, order, NewOrder(slices.Collect(maps.Values(rows))))
		}
	})
}

// changeTo returns the change that leads to rows; Sorted and touched share the members.
func changeTo(rows map[uint64]Row, changed map[uint64]*Member) Change {
	change := Change{Changed: changed, MembershipChanged: true}
	for hash, row := range rows {
		if !row.State.Present() {
			continue
		}
		member := NewMember(row, false)
		change.Sorted = append(change.Sorted, member)
		if _, found := changed[hash]; found {
			changed[hash] = member
		}
	}
	slices.SortFunc(change.Sorted, CompareMembers)
	return change
}

func compareOrders(t *rapid.T, got, want *Order) {
	if got.Len() != want.Len() || got.Alive() != want.Alive() || len(got.services) != len(want.services) {
		t.Fatalf("%d members, %d alive in %d services; want %d, %d, %d",
			got.Len(), got.Alive(), len(got.services), want.Len(), want.Alive(), len(want.services))
	}
	for i := range want.Len() {
		row := *want.At(i).Row()
		if rank, found := got.Rank(row.ID); !found || rank != i || *got.At(i).Row() != row {
			t.Fatalf("%s is not at rank %d", row.ID, i)
		}
	}
	for service := range want.services {
		if a, b := describe(got, service), describe(want, service); a != b {
			t.Fatalf("%s: %s; want %s", service, a, b)
		}
	}
}

// describe formats a service's groups with their members.
func describe(o *Order, service string) string {
	var text string
	for _, g := range o.Targets(service) {
		text += g.Region() + "/" + g.Domain() + ":"
		for _, m := range g.Members() {
			text += fmt.Sprintf(" %v", *m.Row())
		}
	}
	return text
}
