package bfconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"bilberryflow.org/lib/bfcodec"
)

// Deltas and snapshots are encoded as deterministic CBOR: equal content has
// equal bytes, so the hash of an object's encoding serves as its digest.

var (
	encMode = bfcodec.Must(cbor.EncOptions{
		Sort: cbor.SortCoreDeterministic, Time: cbor.TimeUnix, TimeTag: cbor.EncTagNone,
	}.EncMode())
	decMode = bfcodec.Must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20,
	}.DecMode())
	compressor   = bfcodec.Must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault)))
	decompressor = bfcodec.Must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotSize)))
)

// maxSnapshotSize is the maximum size, in bytes, of a decompressed snapshot. A
// corrupt or malicious frame of a few kilobytes could otherwise expand beyond
// the node's memory limit of 128 MB. A quarter of that holds about 300,000 objects.
const maxSnapshotSize = 32 << 20

// opWire is the encoded form of an operation; exactly one field is set.
type opWire struct {
	Service *ServiceSpec `cbor:"1,keyasint,omitempty" json:"service,omitempty"`
	Route   *RouteSpec   `cbor:"2,keyasint,omitempty" json:"route,omitempty"`
	Policy  *PolicySpec  `cbor:"3,keyasint,omitempty" json:"policy,omitempty"`
	Event   *EventSpec   `cbor:"4,keyasint,omitempty" json:"event,omitempty"`
	Remove  *Ref         `cbor:"5,keyasint,omitempty" json:"remove,omitempty"`
}

func toWire(op Op) (opWire, error) {
	switch op := op.(type) {
	case Remove:
		return opWire{Remove: &op.Ref}, nil
	case Put:
		return objectWire(op.Object)
	}
	return opWire{}, fmt.Errorf("unknown operation type %T", op)
}

func objectWire(object Object) (opWire, error) {
	switch o := object.(type) {
	case ServiceSpec:
		return opWire{Service: &o}, nil
	case RouteSpec:
		return opWire{Route: &o}, nil
	case PolicySpec:
		return opWire{Policy: &o}, nil
	case EventSpec:
		o.Start, o.End = o.Start.UTC(), o.End.UTC()
		return opWire{Event: &o}, nil
	}
	return opWire{}, fmt.Errorf("unknown object type %T", object)
}

func (w opWire) op() (Op, error) {
	var ops []Op
	if w.Service != nil {
		ops = append(ops, Put{*w.Service})
	}
	if w.Route != nil {
		ops = append(ops, Put{*w.Route})
	}
	if w.Policy != nil {
		ops = append(ops, Put{*w.Policy})
	}
	if w.Event != nil {
		w.Event.Start, w.Event.End = w.Event.Start.UTC(), w.Event.End.UTC()
		ops = append(ops, Put{*w.Event})
	}
	if w.Remove != nil {
		ops = append(ops, Remove{*w.Remove})
	}
	if len(ops) != 1 {
		return nil, fmt.Errorf("operation has %d fields set, want exactly 1", len(ops))
	}
	return ops[0], nil
}

// hashObject hashes the object and its revision. The revision is included
// because commits use it to detect conflicts.
func hashObject(object Object, revision Version) (Digest, error) {
	wire, err := objectWire(object)
	if err != nil {
		return Digest{}, err
	}
	data, err := encMode.Marshal(snapshotItem{Object: wire, Revision: revision})
	if err != nil {
		return Digest{}, err
	}
	return hashBytes(data), nil
}

type deltaWire struct {
	Version Version  `cbor:"1,keyasint"`
	Digest  Digest   `cbor:"2,keyasint"`
	ID      string   `cbor:"3,keyasint"`
	Author  string   `cbor:"4,keyasint"`
	At      int64    `cbor:"5,keyasint"` // milliseconds since the Unix epoch
	Ops     []opWire `cbor:"6,keyasint"`
}

// Encode encodes the delta as CBOR.
func (d Delta) Encode() ([]byte, error) {
	wire := deltaWire{
		Version: d.version, Digest: d.digest, ID: d.change.id, Author: d.change.author, At: d.change.at.UnixMilli(),
	}
	for _, op := range d.change.ops {
		w, err := toWire(op)
		if err != nil {
			return nil, err
		}
		wire.Ops = append(wire.Ops, w)
	}
	return encMode.Marshal(wire)
}

// DecodeDelta decodes a delta encoded by Delta.Encode; invalid data gives a *bfcodec.Error.
func DecodeDelta(data []byte) (Delta, error) {
	var wire deltaWire
	if err := decMode.Unmarshal(data, &wire); err != nil {
		return Delta{}, &bfcodec.Error{What: "delta", Reason: err}
	}
	ops, err := opsFromWire(wire.Ops)
	if err != nil {
		return Delta{}, &bfcodec.Error{What: "delta", Reason: err}
	}
	if wire.Version == 0 || len(ops) == 0 {
		return Delta{}, &bfcodec.Error{What: "delta", Reason: errors.New("missing version or operations")}
	}
	change := NewChange(wire.ID, wire.Author, time.UnixMilli(wire.At), ops)
	return Delta{version: wire.Version, digest: wire.Digest, change: change}, nil
}

func opsFromWire(wires []opWire) ([]Op, error) {
	ops := make([]Op, 0, len(wires))
	for _, w := range wires {
		op, err := w.op()
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	return ops, nil
}

// EncodeOps encodes operations as JSON, the format of staged changes.
func EncodeOps(ops []Op) ([]byte, error) {
	wires := make([]opWire, 0, len(ops))
	for _, op := range ops {
		w, err := toWire(op)
		if err != nil {
			return nil, err
		}
		wires = append(wires, w)
	}
	return json.Marshal(wires)
}

// DecodeOps decodes operations encoded by EncodeOps; invalid data gives a *bfcodec.Error.
func DecodeOps(data []byte) ([]Op, error) {
	var wires []opWire
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields() // a misspelled limit would otherwise be confirmed as no limit
	if err := decoder.Decode(&wires); err != nil {
		return nil, &bfcodec.Error{What: "operations", Reason: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &bfcodec.Error{What: "operations", Reason: errors.New("trailing data after the list of operations")}
	}
	ops, err := opsFromWire(wires)
	if err != nil {
		return nil, &bfcodec.Error{What: "operations", Reason: err}
	}
	return ops, nil
}

type snapshotWire struct {
	Version Version        `cbor:"1,keyasint"`
	Digest  Digest         `cbor:"2,keyasint"`
	Objects []snapshotItem `cbor:"3,keyasint"`
}

type snapshotItem struct {
	Object   opWire  `cbor:"1,keyasint"`
	Revision Version `cbor:"2,keyasint"`
}

// EncodeSnapshot encodes the whole state as compressed CBOR; equal states give equal bytes.
func (s *State) EncodeSnapshot() ([]byte, error) {
	wire := snapshotWire{Version: s.version, Digest: s.Digest()}
	for _, kind := range Kinds() {
		for _, object := range s.Objects(kind) {
			w, err := objectWire(object)
			if err != nil {
				return nil, err
			}
			wire.Objects = append(wire.Objects, snapshotItem{Object: w, Revision: s.Revision(object.Ref())})
		}
	}
	data, err := encMode.Marshal(wire)
	if err != nil {
		return nil, err
	}
	return compressor.EncodeAll(data, nil), nil
}

// Restore decodes and validates a snapshot encoded by EncodeSnapshot.
//
// want is the expected version. A truncated or corrupt snapshot, or one of
// another version, gives an error, and the caller falls back to an older snapshot.
func Restore(data []byte, want Version) (*State, error) {
	plain, err := decompressor.DecodeAll(data, nil)
	if err != nil {
		return nil, &bfcodec.Error{What: "snapshot", Reason: err}
	}
	var wire snapshotWire
	if err := decMode.Unmarshal(plain, &wire); err != nil {
		return nil, &bfcodec.Error{What: "snapshot", Reason: err}
	}
	if wire.Version != want {
		return nil, &VersionError{Held: want, Delta: wire.Version}
	}
	return wire.state()
}

func (w snapshotWire) state() (*State, error) {
	s := Empty()
	ops := make([]Op, 0, len(w.Objects))
	for _, item := range w.Objects {
		op, err := item.Object.op()
		if err != nil {
			return nil, &bfcodec.Error{What: "snapshot", Reason: err}
		}
		put, isPut := op.(Put)
		if !isPut {
			return nil, &bfcodec.Error{What: "snapshot", Reason: fmt.Errorf("unexpected operation %T", op)}
		}
		s.version = item.Revision
		if err := s.put(put.Object); err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	s.version = w.Version
	if err := s.validate(ops); err != nil {
		return nil, err
	}
	if got := s.Digest(); got != w.Digest {
		return nil, &DigestError{Version: w.Version, Got: got, Want: w.Digest}
	}
	return s, nil
}

// Equal reports whether two objects have the same content.
func Equal(a, b Object) bool {
	x, errX := objectWire(a)
	y, errY := objectWire(b)
	if errX != nil || errY != nil {
		return false
	}
	return slices.Equal(bfcodec.Must(encMode.Marshal(x)), bfcodec.Must(encMode.Marshal(y)))
}
