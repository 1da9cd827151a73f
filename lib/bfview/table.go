package bfview

import (
	"fmt"
	"slices"
	"time"

	"bilberryflow.org/lib/bfroster"
)

// Verdict is what became of a row offered to the table.
type Verdict int

// The verdicts.
const (
	// Stale rows tell nothing that is not known.
	Stale Verdict = iota
	Accepted
	// Barred rows are of an incarnation that was dropped as dead.
	Barred
	// Clashing rows have the hash of another member.
	Clashing
)

// CollisionError reports two members whose IDs have the same hash.
type CollisionError struct{ Held, Refused string }

// Error names both members.
func (e *CollisionError) Error() string {
	return fmt.Sprintf("member %q refused: same hash as %q", e.Refused, e.Held)
}

type entry struct {
	member *bfroster.Member
	// since is when the row came to its state here.
	since time.Time
}

// Table holds the rows of one node's view.
//
// digests and sorted cover only members that are present, so that dropping a
// dead row at different times on different nodes makes no difference to repair.
type Table struct {
	entries map[uint64]entry
	sorted  []*bfroster.Member
	digests [Cells]uint64
	total   uint64
	graves  map[uint64]Grave
	// buried lists hashes of graves, the oldest first.
	buried []uint64
	texts  map[string]string
	// touched are the members changed since the last order was made, nil for
	// those no longer present, and moved says that some of them came or went.
	touched map[uint64]*bfroster.Member
	moved   bool
	lost    map[bfroster.Key]bool
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{
		entries: map[uint64]entry{}, graves: map[uint64]Grave{}, texts: map[string]string{},
		touched: map[uint64]*bfroster.Member{}, lost: map[bfroster.Key]bool{},
	}
}

// Member is what is held of a member, dead ones included, or nil.
func (t *Table) Member(hash uint64) *bfroster.Member { return t.entries[hash].member }

// Present is a member that belongs to the order, or nil.
func (t *Table) Present(hash uint64) *bfroster.Member {
	if member := t.Member(hash); member != nil && member.Row().State.Present() {
		return member
	}
	return nil
}

// Row is what is known of a member, dead ones included.
func (t *Table) Row(hash uint64) (bfroster.Row, bool) {
	member := t.Member(hash)
	if member == nil {
		return bfroster.Row{}, false
	}
	return *member.Row(), true
}

// Sorted lists the present members by key; the list must not be kept or changed.
func (t *Table) Sorted() []*bfroster.Member { return t.sorted }

// Digest identifies the view.
func (t *Table) Digest() uint64 { return t.total }

// Merge takes row if it is later knowledge than what is held, and returns what was held.
func (t *Table) Merge(now time.Time, row bfroster.Row) (Verdict, bfroster.Row) {
	hash := bfroster.HashID(row.ID)
	held, found := t.Row(hash)
	if found && held.ID != row.ID {
		return Clashing, held
	}
	// A partitioned node may still hold as alive what the others dropped as
	// dead long ago; without the grave its row would come back on every node,
	// be probed, die and come back again. A member that really lives outdoes
	// the grave by a higher incarnation.
	if g, dropped := t.graves[hash]; dropped && row.Incarnation <= g.Incarnation {
		return Barred, held
	}
	if found && bfroster.Compare(row, held) <= 0 {
		return Stale, held
	}
	t.put(now, hash, row)
	return Accepted, held
}

func (t *Table) put(now time.Time, hash uint64, row bfroster.Row) {
	row.Region, row.Domain, row.Service = t.text(row.Region), t.text(row.Domain), t.text(row.Service)
	held, found := t.entries[hash]
	since := now
	if found && held.member.Row().State == row.State {
		since = held.since
	}
	old := t.Present(hash)
	t.entries[hash] = entry{member: bfroster.NewMember(row, t.lost[row.DomainKey()]), since: since}
	t.touched[hash] = t.Present(hash)
	t.place(old, t.touched[hash])
}

// place keeps sorted and the digests in step with one member's old and new row.
func (t *Table) place(old, member *bfroster.Member) {
	if old != nil {
		t.flip(old)
	}
	if member != nil {
		t.flip(member)
	}
	if old != nil && member != nil && old.Key() == member.Key() {
		t.sorted[t.search(member)] = member
		return
	}
	if old != nil {
		i := t.search(old)
		t.sorted = slices.Delete(t.sorted, i, i+1)
		t.moved = true
	}
	if member != nil {
		t.sorted = slices.Insert(t.sorted, t.search(member), member)
		t.moved = true
	}
}

func (t *Table) search(member *bfroster.Member) int {
	i, _ := slices.BinarySearchFunc(t.sorted, member, bfroster.CompareMembers)
	return i
}

// NextOrder is the order after previous, which the last call returned.
func (t *Table) NextOrder(previous *bfroster.Order) *bfroster.Order {
	next := previous.Next(bfroster.Change{Sorted: t.sorted, Changed: t.touched, MembershipChanged: t.moved, Digest: t.total})
	clear(t.touched)
	t.moved = false
	return next
}

// After lists the present members behind a key; the list must not be kept or changed.
func (t *Table) After(key bfroster.Key) []*bfroster.Member { return t.sorted[t.rank(key.After()):] }

// InDomain lists the present members of a domain; the list must not be kept or changed.
func (t *Table) InDomain(domain bfroster.Key) []*bfroster.Member {
	return t.sorted[t.rank(domain):t.rank(domain.DomainEnd())]
}

// rank is the place of the first member whose key is at least key.
func (t *Table) rank(key bfroster.Key) int {
	i, _ := slices.BinarySearchFunc(t.sorted, key, func(m *bfroster.Member, k bfroster.Key) int { return m.Key().Compare(k) })
	return i
}

// Lost reports whether a domain is marked as out of reach.
func (t *Table) Lost(domain bfroster.Key) bool { return t.lost[domain] }

// SetLost marks the members of a domain, and lists those whose suspicion it voids.
//
// Each node suspects others of a lost domain. Kept until the domain is back,
// these suspicions would run out before their members could hear of them, and
// the fleet would tell and refute a death for nearly each.
func (t *Table) SetLost(domain bfroster.Key, lost bool) []uint64 {
	delete(t.lost, domain)
	if lost {
		t.lost[domain] = true
	}
	var voided []uint64
	members := t.InDomain(domain)
	for i, old := range members {
		hash, row := old.Key().Hash, *old.Row()
		if row.State == bfroster.Suspect {
			row.State = bfroster.Alive
			voided = append(voided, hash)
		}
		// Orders in use keep the unmarked member.
		members[i] = bfroster.NewMember(row, lost)
		t.entries[hash] = entry{member: members[i], since: t.entries[hash].since}
		t.touched[hash] = members[i]
	}
	return voided
}

// Unreachable lists by key the members held dead or lost.
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

// DeadSince counts the members of a domain that died here after a time.
func (t *Table) DeadSince(domain bfroster.Key, after time.Time) int {
	count := 0
	for _, e := range t.entries {
		row := e.member.Row()
		if row.State == bfroster.Dead && e.since.After(after) && row.DomainKey() == domain {
			count++
		}
	}
	return count
}

// text keeps one copy of a name that thousands of rows share.
func (t *Table) text(s string) string {
	const limit = 1 << 13
	if known, found := t.texts[s]; found {
		return known
	}
	if len(t.texts) < limit {
		t.texts[s] = s
	}
	return s
}
