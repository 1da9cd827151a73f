package bfview

import (
	"encoding/binary"
	"slices"

	"bilberryflow.org/lib/bfroster"
)

const (
	bucketCount    = 64
	cellsPerBucket = 64
	// Cells is the number of digest cells of a view.
	Cells = bucketCount * cellsPerBucket
)

// cellIndex returns the digest cell of a member's hash.
func cellIndex(hash uint64) uint16 { return uint16(hash >> 52) }

// toggleDigest adds a member to the digests, or removes one already added: XOR is its own inverse.
func (t *Table) toggleDigest(m *bfroster.Member) {
	fingerprint := m.Fingerprint()
	t.cellDigests[cellIndex(m.Key().Hash)] ^= fingerprint
	t.digest ^= fingerprint
}

// Summary returns the digests of all buckets, 8 bytes each in little-endian order.
func (t *Table) Summary() []byte {
	data := make([]byte, 0, 8*bucketCount)
	for b := range uint8(bucketCount) {
		var sum uint64
		for _, d := range t.cells(b) {
			sum ^= d
		}
		data = binary.LittleEndian.AppendUint64(data, sum)
	}
	return data
}

// Detail returns the cell digests of one bucket, 8 bytes each in little-endian order.
func (t *Table) Detail(bucket uint8) []byte {
	data := make([]byte, 0, 8*cellsPerBucket)
	for _, d := range t.cells(bucket) {
		data = binary.LittleEndian.AppendUint64(data, d)
	}
	return data
}

func (t *Table) cells(bucket uint8) []uint64 {
	first := int(bucket) * cellsPerBucket
	return t.cellDigests[first : first+cellsPerBucket]
}

// DifferingBuckets returns the buckets whose digests differ from those in another view's Summary.
func (t *Table) DifferingBuckets(summary []byte) []uint8 {
	return differingIndexes(t.Summary(), summary)
}

// DifferingCells returns the cells whose digests differ from those in another
// view's Detail of a bucket, and none for a bucket that doesn't exist.
func (t *Table) DifferingCells(bucket uint8, detail []byte) []uint16 {
	if bucket >= bucketCount {
		return nil
	}
	var list []uint16
	for _, c := range differingIndexes(t.Detail(bucket), detail) {
		list = append(list, uint16(bucket)*cellsPerBucket+uint16(c))
	}
	return list
}

// differingIndexes returns the positions at which the 8-byte digests differ.
func differingIndexes(ours, theirs []byte) []uint8 {
	var list []uint8
	for i := 0; i+8 <= min(len(ours), len(theirs)); i += 8 {
		if binary.LittleEndian.Uint64(ours[i:]) != binary.LittleEndian.Uint64(theirs[i:]) {
			list = append(list, uint8(i/8))
		}
	}
	return list
}

// InCells returns the rows in the cells, dead ones included, sorted by key.
func (t *Table) InCells(cellIndexes []uint16) []bfroster.Row {
	var rows []bfroster.Row
	for hash, e := range t.entries {
		if slices.Contains(cellIndexes, cellIndex(hash)) {
			rows = append(rows, *e.member.Row())
		}
	}
	slices.SortFunc(rows, func(a, b bfroster.Row) int { return a.Key().Compare(b.Key()) })
	return rows
}
