package bfmember

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

const (
	buckets       = 64
	cellsInBucket = 64
	cells         = buckets * cellsInBucket
)

// cellOf is the cell of the digest that a member falls into.
func cellOf(hash uint64) uint16 { return uint16(hash >> 52) }

// verdict is what became of a row offered to the table.
type verdict int

const (
	// stale rows tell nothing that is not known.
	stale verdict = iota
	accepted
	// barred rows are of an incarnation that was dropped as dead.
	barred
	// clashing rows have the hash of another member.
	clashing
)

// CollisionError reports two members whose IDs have the same hash.
type CollisionError struct{ Held, Refused string }

// Error names both members.
func (e *CollisionError) Error() string {
	return fmt.Sprintf("member %q refused: same hash as %q", e.Refused, e.Held)
}

// DuplicateError reports a process that runs under this node's ID and started later.
type DuplicateError struct{ ID, Peer, Other string }

// Error names the ID and both addresses.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("instance %q at %s runs at %s too", e.ID, e.Peer, e.Other)
}

type entry struct {
	member *Member
	// since is when the row came to its state here.
	since time.Time
}

// grave is what is kept of a dropped row.
type grave struct {
	incarnation, sequence uint64
	at                    time.Time
}

// table holds the rows of one node's view.
//
// digests and sorted cover only members that are present, so that dropping a
// dead row at different times on different nodes makes no difference to repair.
type table struct {
	entries map[uint64]entry
	sorted  []*Member
	digests [cells]uint64
	total   uint64
	graves  map[uint64]grave
	// buried lists hashes of graves, the oldest first.
	buried []uint64
	texts  map[string]string
	// touched are the members changed since the last order was made, and moved
	// says that some of them came or went.
	touched map[uint64]bool
	moved   bool
	lost    map[domainKey]bool
}

func newTable() *table {
	return &table{
		entries: map[uint64]entry{}, graves: map[uint64]grave{}, texts: map[string]string{}, touched: map[uint64]bool{},
		lost: map[domainKey]bool{},
	}
}

// present is a member that belongs to the order, or nil.
func (t *table) present(hash uint64) *Member {
	if e, found := t.entries[hash]; found && e.member.row.State.Present() {
		return e.member
	}
	return nil
}

func (t *table) row(hash uint64) (Row, bool) {
	e, found := t.entries[hash]
	if !found {
		return Row{}, false
	}
	return e.member.row, true
}

// merge takes row if it is later knowledge than what is held.
func (t *table) merge(now time.Time, row Row) (verdict, Row) {
	hash := HashID(row.ID)
	held, found := t.row(hash)
	if found && held.ID != row.ID {
		return clashing, held
	}
	// A partitioned node may still hold as alive what the others dropped as
	// dead long ago; without the grave its row would come back on every node,
	// be probed, die and come back again. A member that really lives outdoes
	// the grave by a higher incarnation.
	if g, dropped := t.graves[hash]; dropped && row.Incarnation <= g.incarnation {
		return barred, held
	}
	if found && Compare(row, held) <= 0 {
		return stale, held
	}
	t.put(now, hash, row)
	return accepted, held
}

func (t *table) put(now time.Time, hash uint64, row Row) {
	row.Region, row.Domain, row.Service = t.text(row.Region), t.text(row.Domain), t.text(row.Service)
	held, found := t.entries[hash]
	since := now
	if found && held.member.row.State == row.State {
		since = held.since
	}
	old := t.present(hash)
	member := &Member{row: row, key: Key{Region: row.Region, Domain: row.Domain, Hash: hash}, lost: t.lost[domainOf(&row)]}
	t.entries[hash] = entry{member: member, since: since}
	t.touched[hash] = true
	t.place(old, t.present(hash))
}

// place keeps sorted and the digests in step with one member's old and new row.
func (t *table) place(old, member *Member) {
	if old != nil {
		t.flip(old)
	}
	if member != nil {
		t.flip(member)
	}
	if old != nil && member != nil && old.key == member.key {
		i, _ := slices.BinarySearchFunc(t.sorted, member, compareMembers)
		t.sorted[i] = member
		return
	}
	if old != nil {
		i, _ := slices.BinarySearchFunc(t.sorted, old, compareMembers)
		t.sorted = slices.Delete(t.sorted, i, i+1)
		t.moved = true
	}
	if member != nil {
		i, _ := slices.BinarySearchFunc(t.sorted, member, compareMembers)
		t.sorted = slices.Insert(t.sorted, i, member)
		t.moved = true
	}
}

// inDomain lists the present members of a domain; the list must not be kept.
func (t *table) inDomain(domain domainKey) []*Member {
	byKey := func(m *Member, k Key) int { return m.key.Compare(k) }
	low, _ := slices.BinarySearchFunc(t.sorted, domain, byKey)
	high, _ := slices.BinarySearchFunc(t.sorted, Key{Region: domain.Region, Domain: domain.Domain + "\x00"}, byKey)
	return t.sorted[low:high]
}

// setLost marks the members of a domain, and lists those whose suspicion it voids.
//
// Each node suspects others of a lost domain. Kept until the domain is back,
// these suspicions would run out before their members could hear of them, and
// the fleet would tell and refute a death for nearly each.
func (t *table) setLost(domain domainKey, lost bool) []uint64 {
	delete(t.lost, domain)
	if lost {
		t.lost[domain] = true
	}
	var voided []uint64
	members := t.inDomain(domain)
	for i, old := range members {
		hash := old.key.Hash
		member := &Member{row: old.row, key: old.key, lost: lost}
		if old.row.State == Suspect {
			member.row.State = Alive
			voided = append(voided, hash)
		}
		// Orders in use keep the unmarked member.
		members[i] = member
		t.entries[hash] = entry{member: member, since: t.entries[hash].since}
		t.touched[hash] = true
	}
	return voided
}

// flip adds a member to the digests or takes it out again.
func (t *table) flip(m *Member) {
	print := m.row.fingerprint(m.key.Hash)
	t.digests[cellOf(m.key.Hash)] ^= print
	t.total ^= print
}

// text keeps one copy of a name that thousands of rows share.
func (t *table) text(s string) string {
	const limit = 1 << 13
	if known, found := t.texts[s]; found {
		return known
	}
	if len(t.texts) < limit {
		t.texts[s] = s
	}
	return s
}

// sweep drops rows that are dead for long, and graves that are older still.
func (t *table) sweep(now time.Time, o Options) {
	for hash, e := range t.entries {
		row := e.member.row
		if row.State.Present() || now.Sub(e.since) < o.DeadRetention {
			continue
		}
		delete(t.entries, hash)
		t.bury(hash, grave{row.Incarnation, row.Sequence, now})
	}
	for len(t.buried) > 0 {
		hash := t.buried[0]
		g, found := t.graves[hash]
		if found && len(t.graves) <= o.MaxGraves && now.Sub(g.at) < o.GraveRetention {
			return
		}
		delete(t.graves, hash)
		t.buried = t.buried[1:]
	}
}

func (t *table) bury(hash uint64, g grave) {
	if _, found := t.graves[hash]; found {
		t.buried = slices.DeleteFunc(t.buried, func(h uint64) bool { return h == hash })
	}
	t.graves[hash] = g
	t.buried = append(t.buried, hash)
}

func (t *table) bucket(b int) uint64 {
	var sum uint64
	for _, d := range t.cells(b) {
		sum ^= d
	}
	return sum
}

func (t *table) cells(bucket int) []uint64 {
	return t.digests[bucket*cellsInBucket : (bucket+1)*cellsInBucket]
}

func (t *table) summary() []byte {
	data := make([]byte, 0, 8*buckets)
	for b := range buckets {
		data = binary.LittleEndian.AppendUint64(data, t.bucket(b))
	}
	return data
}

func (t *table) detail(bucket int) []byte {
	data := make([]byte, 0, 8*cellsInBucket)
	for _, d := range t.cells(bucket) {
		data = binary.LittleEndian.AppendUint64(data, d)
	}
	return data
}

// inCells lists the rows, dead ones included, that fall into the cells.
func (t *table) inCells(wanted []uint16) []Row {
	var rows []Row
	for hash, e := range t.entries {
		if slices.Contains(wanted, cellOf(hash)) {
			rows = append(rows, e.member.row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return a.Key().Compare(b.Key()) })
	return rows
}

// differing lists which 8-byte digests in theirs are not those in ours.
func differing(ours, theirs []byte) []int {
	var list []int
	for i := 0; i+8 <= min(len(ours), len(theirs)); i += 8 {
		if binary.LittleEndian.Uint64(ours[i:]) != binary.LittleEndian.Uint64(theirs[i:]) {
			list = append(list, i/8)
		}
	}
	return list
}
