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
	numberFormat   = "%s%020d" // keys sort as their numbers
)

// VersionKey is the key of the row that holds the delta to a version.
func VersionKey(version bfconfig.Version) string {
	return fmt.Sprintf(numberFormat, versionPrefix, version)
}

// VersionRange bounds the rows of the versions from first to last.
func VersionRange(first, last bfconfig.Version) (from, to string) {
	return VersionKey(first), VersionKey(last + 1)
}

// ChangeKey is the key of the row that holds the Decision on a change.
func ChangeKey(id string) string { return changePrefix + id }

// StagedKey is the key of the row that holds a staged change.
func StagedKey(id string) string { return stagedPrefix + id }

// StagedRange bounds the rows of all staged changes.
func StagedRange() (from, to string) { return stagedPrefix, stagedPrefix + "\xff" }

// SnapshotKey is the name of the object that holds the snapshot of a version.
func SnapshotKey(version bfconfig.Version) string {
	return fmt.Sprintf(numberFormat, snapshotPrefix, version)
}

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

// must panics on an error; it is for calls that can only fail by a programming error.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// RowError reports a row whose value is malformed or doesn't match its key.
type RowError struct {
	Key    string
	Reason error
}

// Error names the row.
func (e *RowError) Error() string { return fmt.Sprintf("invalid row %q: %v", e.Key, e.Reason) }

// Unwrap returns the reason.
func (e *RowError) Unwrap() error { return e.Reason }

// Head is the newest version and its digest; it is version 0 while the row doesn't exist.
type Head struct {
	Version bfconfig.Version `cbor:"1,keyasint"`
	Digest  bfconfig.Digest  `cbor:"2,keyasint"`
}

// Encode encodes the value of the head row.
func (h Head) Encode() []byte { return must(encMode.Marshal(h)) }

// DecodeHead decodes the head row; it returns a RowError if the value is malformed.
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

// Decision is the final decision on a change: it was committed as a version, or it was withdrawn.
type Decision struct {
	Version   bfconfig.Version `cbor:"1,keyasint,omitempty"`
	Withdrawn bool             `cbor:"2,keyasint,omitempty"`
}

// Encode encodes the value of a change row.
func (d Decision) Encode() []byte { return must(encMode.Marshal(d)) }

// DecodeDecision decodes a change row; decided is false if the row doesn't exist.
// It returns a RowError if the value is malformed or inconsistent.
func DecodeDecision(row bfstore.Row) (decision Decision, decided bool, err error) {
	if row.Revision == 0 {
		return Decision{}, false, nil
	}
	if err := decMode.Unmarshal(row.Value, &decision); err != nil {
		return Decision{}, false, &RowError{Key: row.Key, Reason: err}
	}
	if (decision.Version == 0) != decision.Withdrawn {
		return Decision{}, false, &RowError{Key: row.Key, Reason: fmt.Errorf("inconsistent decision: %+v", decision)}
	}
	return decision, true, nil
}
