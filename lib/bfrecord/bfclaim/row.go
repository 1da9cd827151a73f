package bfclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

// State is the state of a claimed key.
type State uint8

// The states of a claimed key.
const (
	// StateRunning is a claimed key without a recorded outcome; its request may be
	// about to start, be running or have ended.
	StateRunning State = iota + 1
	// StateDone is a key whose outcome is recorded.
	StateDone
	// StateReleased is a key whose request was not run; any request may claim it.
	StateReleased
)

// Row is the decoded value of a claim's table row.
type Row struct {
	Content bfrecord.Digest          `json:"content" cbor:"1,keyasint"`
	Home    bfrecord.NodeIncarnation `json:"home" cbor:"2,keyasint"`
	ID      bfrecord.ID              `json:"id" cbor:"3,keyasint"`
	State   State                    `json:"state" cbor:"4,keyasint"`
	// Expires is when a done or released row may be removed, in milliseconds since 1970.
	Expires int64 `json:"expires" cbor:"5,keyasint"`
	// Answer is the recorded outcome, without its body if Object is set.
	Answer *bfrecord.AnswerMessage `json:"answer,omitempty" cbor:"6,keyasint,omitempty"`
	// Object is the object store name of a body too large for the row.
	Object string `json:"object,omitempty" cbor:"7,keyasint,omitempty"`
}

// Key identifies a caller's idempotency key, scoped by tenant and route.
type Key struct{ Tenant, Route, Key string }

// String returns the key of the table row, which differs between tenants and routes.
func (k Key) String() string {
	var text []byte
	for _, part := range []string{k.Tenant, k.Route, k.Key} {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(text)
	return "claim/" + hex.EncodeToString(sum[:16])
}

// RowError reports a claim's row that can't be encoded or decoded.
type RowError struct {
	Key    string
	Reason error
}

// Error includes the row's key and the reason.
func (e *RowError) Error() string { return fmt.Sprintf("claim row %s: %v", e.Key, e.Reason) }

// Unwrap returns the reason.
func (e *RowError) Unwrap() error { return e.Reason }

func (r Row) encode() ([]byte, error) { return cbor.Marshal(r) }

// DecodeRow decodes and validates the value of a claim's row. Its error is a *RowError.
func DecodeRow(row bfstore.Row) (Row, error) {
	var r Row
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		return Row{}, &RowError{Key: row.Key, Reason: err}
	}
	if r.State < StateRunning || r.State > StateReleased || (r.State == StateDone) != (r.Answer != nil) {
		return Row{}, &RowError{Key: row.Key, Reason: fmt.Errorf("state %d is invalid or does not match the answer", r.State)}
	}
	return r, nil
}

// Removable reports whether the row may be deleted at now.
//
// A running row never is: only its home can confirm that its request won't run.
func (r Row) Removable(now time.Time) bool {
	return r.State != StateRunning && now.UnixMilli() >= r.Expires
}

// claimable reports whether another request may claim the key by replacing this row.
func (r Row) claimable(now time.Time) bool { return r.State == StateReleased || r.Removable(now) }

// replace returns the transaction that writes r if the row still has the revision.
func (r Row) replace(key string, revision uint64) (bfstore.Transaction, error) {
	value, err := r.encode()
	if err != nil {
		return bfstore.Transaction{}, &RowError{Key: key, Reason: err}
	}
	return bfstore.Transaction{
		Conditions: []bfstore.Condition{{Key: key, Revision: revision}},
		Writes:     []bfstore.Write{{Key: key, Value: value}},
	}, nil
}
