package bfroster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry of an Order: a row with its key.
type Member struct {
	row Row
	key Key
	// lost is set if the member's whole domain is unreachable.
	lost bool
}

// NewMember returns the member of a row; lost states that its whole domain is unreachable.
func NewMember(row Row, lost bool) *Member { return &Member{row: row, key: row.Key(), lost: lost} }

// CompareMembers returns the order of two members by their keys.
func CompareMembers(a, b *Member) int { return a.key.Compare(b.key) }

// Row returns the member's row, which must not be modified.
func (m *Member) Row() *Row { return &m.row }

// Key returns the member's sort key.
func (m *Member) Key() Key { return m.key }

// Alive reports whether neither the member nor its whole domain is suspected.
func (m *Member) Alive() bool { return m.row.State == Alive && !m.lost }

// Lost reports whether the member's whole domain is unreachable.
func (m *Member) Lost() bool { return m.lost }

// Fingerprint returns the member's contribution to the digest of a view.
//
// It excludes State: a suspicion soon ends either with the member's death, which removes the
// row from the digest, or with a refutation, which has a new sequence number. Reconciling
// suspicions in transit would cost more than it gains.
func (m *Member) Fingerprint() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], m.key.Hash)
	binary.LittleEndian.PutUint64(b[8:], m.row.Incarnation)
	binary.LittleEndian.PutUint64(b[16:], m.row.Sequence)
	return xxhash.Sum64(b[:])
}

func (m *Member) aliveCount() int {
	if m.Alive() {
		return 1
	}
	return 0
}
