package bfview

import (
	"encoding/binary"
	"slices"

	"bilberryflow.org/lib/bfroster"
)

const (
	buckets       = 64
	cellsInBucket = 64
	// Cells is how many cells the digests of a view have.
	Cells = buckets * cellsInBucket
)

// cellOf is the cell of the digest that a member falls into.
func cellOf(hash uint64) uint16 { return uint16(hash >> 52) }

// flip adds a member to the digests or takes it out again.
func (t *Table) flip(m *bfroster.Member) {
	print := m.Fingerprint()
	t.digests[cellOf(m.Key().Hash)] ^= print
	t.total ^= print
}

// Summary is the digests of the buckets.
func (t *Table) Summary() []byte {
	data := make([]byte, 0, 8*buckets)
	for b := range uint8(buckets) {
		var sum uint64
		for _, d := range t.cells(b) {
			sum ^= d
		}
		data = binary.LittleEndian.AppendUint64(data, sum)
	}
	return data
}

// Detail is the digests of the cells of a bucket that a Summary has.
func (t *Table) Detail(bucket uint8) []byte {
	data := make([]byte, 0, 8*cellsInBucket)
	for _, d := range t.cells(bucket) {
		data = binary.LittleEndian.AppendUint64(data, d)
	}
	return data
}

func (t *Table) cells(bucket uint8) []uint64 {
	first := int(bucket) * cellsInBucket
	return t.digests[first : first+cellsInBucket]
}

// DifferingBuckets lists the buckets in which another view's Summary differs.
func (t *Table) DifferingBuckets(summary []byte) []uint8 { return differing(t.Summary(), summary) }

// DifferingCells lists the cells in which another view's Detail of a bucket
// differs; a bucket that doesn't exist has none.
func (t *Table) DifferingCells(bucket uint8, detail []byte) []uint16 {
	if bucket >= buckets {
		return nil
	}
	var list []uint16
	for _, c := range differing(t.Detail(bucket), detail) {
		list = append(list, uint16(bucket)*cellsInBucket+uint16(c))
	}
	return list
}

// differing lists which 8-byte digests in theirs are not those in ours.
func differing(ours, theirs []byte) []uint8 {
	var list []uint8
	for i := 0; i+8 <= min(len(ours), len(theirs)); i += 8 {
		if binary.LittleEndian.Uint64(ours[i:]) != binary.LittleEndian.Uint64(theirs[i:]) {
			list = append(list, uint8(i/8))
		}
	}
	return list
}

// InCells lists the rows, dead ones included, that fall into the cells.
func (t *Table) InCells(wanted []uint16) []bfroster.Row {
	var rows []bfroster.Row
	for hash, e := range t.entries {
		if slices.Contains(wanted, cellOf(hash)) {
			rows = append(rows, *e.member.Row())
		}
	}
	slices.SortFunc(rows, func(a, b bfroster.Row) int { return a.Key().Compare(b.Key()) })
	return rows
}
