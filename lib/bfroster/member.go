package bfroster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Member is a row in an Order.
type Member struct {
	row Row
	key Key
	// lost members are of a domain that is out of reach as a whole.
	lost bool
}

// NewMember makes the member of a row; lost says that its whole domain is out of reach.
func NewMember(row Row, lost bool) *Member { return &Member{row: row, key: row.Key(), lost: lost} }

// CompareMembers orders members by their keys.
func CompareMembers(a, b *Member) int { return a.key.Compare(b.key) }

// Row is what the fleet knows of the member; it must not be changed.
func (m *Member) Row() *Row { return &m.row }

// Key is the member's place in the order.
func (m *Member) Key() Key { return m.key }

// Alive reports whether neither the member nor its whole domain is suspected.
func (m *Member) Alive() bool { return m.row.State == Alive && !m.lost }

// Lost reports whether the member's domain is out of reach as a whole.
func (m *Member) Lost() bool { return m.lost }

// Fingerprint is the member's part in the digest of a view.
//
// State is not in it: a suspicion soon ends as a death, which takes the row out
// of the digest, or as a refutation, which has another sequence. To repair the
// suspicions on their way would cost more than they do.
func (m *Member) Fingerprint() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], m.key.Hash)
	binary.LittleEndian.PutUint64(b[8:], m.row.Incarnation)
	binary.LittleEndian.PutUint64(b[16:], m.row.Sequence)
	return xxhash.Sum64(b[:])
}

func (m *Member) countAlive() int {
	if m.Alive() {
		return 1
	}
	return 0
}
