package bfstore

import "fmt"

// Revision orders the states of a TableStore by the era of the store and, within an era, by
// the store's counter. The zero value means that there is no revision.
//
// A store that is restored from an older copy begins a new era and assigns its numbers again,
// so numbers of different eras must never be compared without the eras.
type Revision uint64

const (
	// numberBits is the size of the counter in a Revision; the era takes the other 16 bits.
	numberBits = 48
	// MaxNumber is the largest counter that a Revision can hold.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the largest era that a Revision can hold.
	MaxEra = 1<<(64-numberBits) - 1
)

// RevisionOf returns the revision of a counter in an era.
func RevisionOf(era, number uint64) Revision { return Revision(era<<numberBits | number&MaxNumber) }

// Era returns the era of the store.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's counter.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the era and the counter.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Number()) }
