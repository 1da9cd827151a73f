package bfview

import (
	"fmt"
	"slices"
	"time"

	"bilberryflow.org/lib/bfroster"
)

// MergeResult is the result of merging a row into the table.
type MergeResult int

// The results of a merge.
const (
	// Stale reports a row that is not newer than the stored one.
	Stale MergeResult = iota
	// Accepted reports a row that was stored.
	Accepted
	// Tombstoned reports a row whose incarnation has a tombstone.
	Tombstoned
	// HashCollision reports a row whose ID has the same hash as another member's ID.
	HashCollision
)

// CollisionError reports two members whose IDs have the same hash.
type CollisionError struct{ Held, Refused string }

// Error includes both IDs.
func (e *CollisionError) Error() string {
	return fmt.Sprintf("member %q refused: same hash as %q", e.Refused, e.Held)
}

type entry struct {
	member *bfroster.Member
	// since is the local time at which the row entered its state.
	since time.Time
}

// Table holds the rows of one node's view.
//
// The digests and sorted cover only present members, so that nodes dropping a
// dead row at different times don't differ in their digests.
type Table struct {
	entries     map[uint64]entry
	sorted      []*bfroster.Member
	cellDigests [Cells]uint64
	digest      uint64
	tombstones  map[uint64]Tombstone
	// tombstoneQueue holds the hashes of the tombstones, oldest first.
	tombstoneQueue []uint64
	interned       map[string]string
	// changed maps the members changed since the last NextOrder, with nil for those
	// no longer present; reordered reports that members were added or removed.
	changed     map[uint64]*bfroster.Member
	reordered   bool
	lostDomains map[bfroster.Key]bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries: map[uint64]entry{}, tombstones: map[uint64]Tombstone{}, interned: map[string]string{},
		changed: map[uint64]*bfroster.Member{}, lostDomains: map[bfroster.Key]bool{},
	}
}

// Member returns the member with a hash, dead ones included, or nil.
func (t *Table) Member(hash uint64) *bfroster.Member { return t.entries[hash].member }

// Present returns the member with a hash if it is in the order, else nil.
func (t *Table) Present(hash uint64) *bfroster.Member {
	if member := t.Member(hash); member != nil && member.Row().State.Present() {
		return member
	}
	return nil
}

// Row returns the row of a member, dead ones included, and whether there is one.
func (t *Table) Row(hash uint64) (bfroster.Row, bool) {
	member := t.Member(hash)
	if member == nil {
		return bfroster.Row{}, false
	}
	return *member.Row(), true
}

// Sorted returns the present members by key; the caller must not retain or modify the slice.
func (t *Table) Sorted() []*bfroster.Member { return t.sorted }

// Digest returns the digest over all present members.
func (t *Table) Digest() uint64 { return t.digest }

// Merge stores row if it is newer than the stored row, and returns the previously stored row.
func (t *Table) Merge(now time.Time, row bfroster.Row) (MergeResult, bfroster.Row) {
	hash := bfroster.HashID(row.ID)
	held, found := t.Row(hash)
	if found && held.ID != row.ID {
		return HashCollision, held
	}
	// A partitioned node may still have as alive a row that the others dropped as
	// dead long ago; without the tombstone that row would be resurrected on every
	// node, probed, declared dead and resurrected again. A live member overrides
	// its tombstone with a higher incarnation.
	if g, dropped := t.tombstones[hash]; dropped && row.Incarnation <= g.Incarnation {
		return Tombstoned, held
	}
	if found && bfroster.Compare(row, held) <= 0 {
		return Stale, held
	}
	t.put(now, hash, row)
	return Accepted, held
}

func (t *Table) put(now time.Time, hash uint64, row bfroster.Row) {
	row.Region, row.Domain, row.Service = t.intern(row.Region), t.intern(row.Domain), t.intern(row.Service)
	held, found := t.entries[hash]
	since := now
	if found && held.member.Row().State == row.State {
		since = held.since
	}
	old := t.Present(hash)
	t.entries[hash] = entry{member: bfroster.NewMember(row, t.lostDomains[row.DomainKey()]), since: since}
	t.changed[hash] = t.Present(hash)
	t.updateIndexes(old, t.changed[hash])
}

// updateIndexes updates sorted and the digests for one member; old or member is nil if not present.
func (t *Table) updateIndexes(old, member *bfroster.Member) {
	if old != nil {
		t.toggleDigest(old)
	}
	if member != nil {
		t.toggleDigest(member)
	}
	if old != nil && member != nil && old.Key() == member.Key() {
		t.sorted[t.sortedIndex(member)] = member
		return
	}
	if old != nil {
		i := t.sortedIndex(old)
		t.sorted = slices.Delete(t.sorted, i, i+1)
		t.reordered = true
	}
	if member != nil {
		t.sorted = slices.Insert(t.sorted, t.sortedIndex(member), member)
		t.reordered = true
	}
}

func (t *Table) sortedIndex(member *bfroster.Member) int {
	i, _ := slices.BinarySearchFunc(t.sorted, member, bfroster.CompareMembers)
	return i
}

// NextOrder returns the order of the present members; previous is the order that the last call returned.
func (t *Table) NextOrder(previous *bfroster.Order) *bfroster.Order {
	next := previous.Next(bfroster.Change{Sorted: t.sorted, Changed: t.changed, MembershipChanged: t.reordered, Digest: t.digest})
	clear(t.changed)
	t.reordered = false
	return next
}

// After returns the present members with greater keys; the caller must not retain or modify the slice.
func (t *Table) After(key bfroster.Key) []*bfroster.Member {
	return t.sorted[t.lowerBound(key.After()):]
}

// InDomain returns the present members of a failure domain; the caller must not retain or modify the slice.
func (t *Table) InDomain(domain bfroster.Key) []*bfroster.Member {
	return t.sorted[t.lowerBound(domain):t.lowerBound(domain.DomainEnd())]
}

// lowerBound returns the index of the first present member whose key is at least key.
func (t *Table) lowerBound(key bfroster.Key) int {
	i, _ := slices.BinarySearchFunc(t.sorted, key, func(m *bfroster.Member, k bfroster.Key) int { return m.Key().Compare(k) })
	return i
}

// Lost reports whether a failure domain is marked as unreachable.
func (t *Table) Lost(domain bfroster.Key) bool { return t.lostDomains[domain] }

// SetLost marks or unmarks a failure domain as unreachable, and returns the
// hashes of its suspected members, which it resets to alive.
//
// Without the reset, suspicions raised during the outage would expire when the
// domain returns, before their members could refute them, and the fleet would
// gossip and refute a death for nearly every member of the domain.
func (t *Table) SetLost(domain bfroster.Key, lost bool) []uint64 {
	delete(t.lostDomains, domain)
	if lost {
		t.lostDomains[domain] = true
	}
	var voided []uint64
	members := t.InDomain(domain)
	for i, old := range members {
		hash, row := old.Key().Hash, *old.Row()
		if row.State == bfroster.Suspect {
			row.State = bfroster.Alive
			voided = append(voided, hash)
		}
		// Members are shared with published orders, so replace instead of modifying.
		members[i] = bfroster.NewMember(row, lost)
		t.entries[hash] = entry{member: members[i], since: t.entries[hash].since}
		t.changed[hash] = members[i]
	}
	return voided
}

// Unreachable returns by key the members that are dead or in an unreachable failure domain.
func (t *Table) Unreachable() []*bfroster.Member {
	var list []*bfroster.Member
	for _, e := range t.entries {
		if e.member.Row().State == bfroster.Dead || e.member.Lost() {
			list = append(list, e.member)
		}
	}
	slices.SortFunc(list, bfroster.CompareMembers)
	return list
}

// DeadSince counts the members of a failure domain that were marked dead locally after a time.
func (t *Table) DeadSince(domain bfroster.Key, cutoff time.Time) int {
	count := 0
	for _, e := range t.entries {
		row := e.member.Row()
		if row.State == bfroster.Dead && e.since.After(cutoff) && row.DomainKey() == domain {
			count++
		}
	}
	return count
}

// intern returns a shared copy of a string that many rows have.
func (t *Table) intern(s string) string {
	const limit = 1 << 13 // strings; bounds the memory of unused ones
	if known, found := t.interned[s]; found {
		return known
	}
	if len(t.interned) < limit {
		t.interned[s] = s
	}
	return s
}
