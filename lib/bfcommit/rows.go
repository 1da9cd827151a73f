package bfcommit

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
)

// HeadKey is the key of the row that holds Head.
const HeadKey = "head"

const (
	versionPrefix  = "version/"
	changePrefix   = "change/"
	stagedPrefix   = "staged/"
	snapshotPrefix = "snapshot/"
	numberForm     = "%s%020d" // keys sort as their numbers
)

// VersionKey is the key of the row that holds the delta to a version.
func VersionKey(version bfconfig.Version) string {
	return fmt.Sprintf(numberForm, versionPrefix, version)
}

// VersionRange bounds the rows of the versions from first to last.
func VersionRange(first, last bfconfig.Version) (from, to string) {
	return VersionKey(first), VersionKey(last + 1)
}

// ChangeKey is the key of the row that holds a change's Fate.
func ChangeKey(id string) string { return changePrefix + id }

// StagedKey is the key of the row that holds a staged change.
func StagedKey(id string) string { return stagedPrefix + id }

// StagedRange bounds the rows of all staged changes.
func StagedRange() (from, to string) { return stagedPrefix, stagedPrefix + "\xff" }

// SnapshotKey is the object store's name for the snapshot of a version.
func SnapshotKey(version bfconfig.Version) string {
	return fmt.Sprintf(numberForm, snapshotPrefix, version)
}

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

// must is for values made from constants: their failure is a fault of the source.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// RowError reports a row that does not hold what its key says.
type RowError struct {
	Key    string
	Reason error
}

// Error names the row.
func (e *RowError) Error() string { return fmt.Sprintf("unreadable row %q: %v", e.Key, e.Reason) }

// Unwrap is the reason.
func (e *RowError) Unwrap() error { return e.Reason }

// Head is the newest version; the row that does not exist yet is version 0.
type Head struct {
	Version bfconfig.Version `cbor:"1,keyasint"`
	Digest  bfconfig.Digest  `cbor:"2,keyasint"`
}

// Encode writes the value of the head row.
func (h Head) Encode() []byte { return must(encMode.Marshal(h)) }

// DecodeHead reads the head row.
func DecodeHead(row bfstore.Row) (Head, error) {
	if row.Revision == 0 {
		return Head{Digest: bfconfig.Empty().Digest()}, nil
	}
	var head Head
	if err := decMode.Unmarshal(row.Value, &head); err != nil {
		return Head{}, &RowError{Key: row.Key, Reason: err}
	}
	return head, nil
}

// Fate is what became of a change for good: it reached a version, or it was withdrawn.
type Fate struct {
	Version   bfconfig.Version `cbor:"1,keyasint,omitempty"`
	Withdrawn bool             `cbor:"2,keyasint,omitempty"`
}

// Encode writes the value of a change row.
func (f Fate) Encode() []byte { return must(encMode.Marshal(f)) }

// DecodeFate reads a change row; decided is false where there is none.
func DecodeFate(row bfstore.Row) (fate Fate, decided bool, err error) {
	if row.Revision == 0 {
		return Fate{}, false, nil
	}
	if err := decMode.Unmarshal(row.Value, &fate); err != nil {
		return Fate{}, false, &RowError{Key: row.Key, Reason: err}
	}
	if (fate.Version == 0) != fate.Withdrawn {
		return Fate{}, false, &RowError{Key: row.Key, Reason: fmt.Errorf("contradicts itself: %+v", fate)}
	}
	return fate, true, nil
}
