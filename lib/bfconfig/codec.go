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

// Deltas and snapshots are deterministic CBOR, so equal content has equal
// bytes and the digest of an object is the hash of its encoding.

var (
	encMode = bfcodec.Must(cbor.EncOptions{
		Sort: cbor.SortCoreDeterministic, Time: cbor.TimeUnix, TimeTag: cbor.EncTagNone,
	}.EncMode())
	decMode = bfcodec.Must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20,
	}.DecMode())
	packer   = bfcodec.Must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault)))
	unpacker = bfcodec.Must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotSize)))
)

// maxSnapshotSize is the largest state in bytes that a node unpacks. A broken or
// hostile frame of a few kilobytes could otherwise unpack to more than the
// node's 128 MB and have it killed; a quarter of that is some 300,000 objects.
const maxSnapshotSize = 32 << 20

// opWire is an operation as it travels: exactly one field is set.
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
	return opWire{}, fmt.Errorf("operation of unknown type %T", op)
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
	return opWire{}, fmt.Errorf("object of unknown type %T", object)
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
		return nil, fmt.Errorf("operation with %d parts instead of one", len(ops))
	}
	return ops[0], nil
}

// hashObject covers the revision too, since commits decide conflicts by it.
func hashObject(object Object, revision Version) (Digest, error) {
	wire, err := objectWire(object)
	if err != nil {
		return Digest{}, err
	}
	data, err := encMode.Marshal(objectItem{Object: wire, Revision: revision})
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
	At      int64    `cbor:"5,keyasint"` // milliseconds since 1970
	Ops     []opWire `cbor:"6,keyasint"`
}

// Encode writes the delta in its compact form.
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

// DecodeDelta reads what Encode wrote.
func DecodeDelta(data []byte) (Delta, error) {
	var wire deltaWire
	if err := decMode.Unmarshal(data, &wire); err != nil {
		return Delta{}, &bfcodec.Error{What: "delta", Reason: err}
	}
	ops, err := wireOps(wire.Ops)
	if err != nil {
		return Delta{}, &bfcodec.Error{What: "delta", Reason: err}
	}
	if wire.Version == 0 || len(ops) == 0 {
		return Delta{}, &bfcodec.Error{What: "delta", Reason: errors.New("no version or no operations")}
	}
	change := NewChange(wire.ID, wire.Author, time.UnixMilli(wire.At), ops)
	return Delta{version: wire.Version, digest: wire.Digest, change: change}, nil
}

func wireOps(wires []opWire) ([]Op, error) {
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

// EncodeOps writes operations as JSON, the form of operators' staged changes.
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

// DecodeOps reads what EncodeOps wrote.
func DecodeOps(data []byte) ([]Op, error) {
	var wires []opWire
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields() // a mistyped limit must not be confirmed as no limit
	if err := decoder.Decode(&wires); err != nil {
		return nil, &bfcodec.Error{What: "operations", Reason: err}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &bfcodec.Error{What: "operations", Reason: errors.New("more than one value")}
	}
	ops, err := wireOps(wires)
	if err != nil {
		return nil, &bfcodec.Error{What: "operations", Reason: err}
	}
	return ops, nil
}

type snapshotWire struct {
	Version Version      `cbor:"1,keyasint"`
	Digest  Digest       `cbor:"2,keyasint"`
	Objects []objectItem `cbor:"3,keyasint"`
}

type objectItem struct {
	Object   opWire  `cbor:"1,keyasint"`
	Revision Version `cbor:"2,keyasint"`
}

// EncodeSnapshot writes the whole state, compressed; equal states give equal bytes.
func (s *State) EncodeSnapshot() ([]byte, error) {
	wire := snapshotWire{Version: s.version, Digest: s.Digest()}
	for _, kind := range Kinds() {
		for _, object := range s.Objects(kind) {
			w, err := objectWire(object)
			if err != nil {
				return nil, err
			}
			wire.Objects = append(wire.Objects, objectItem{Object: w, Revision: s.Revision(object.Ref())})
		}
	}
	data, err := encMode.Marshal(wire)
	if err != nil {
		return nil, err
	}
	return packer.EncodeAll(data, nil), nil
}

// Restore reads what EncodeSnapshot wrote and validates it whole.
//
// want is the version the snapshot was asked for: one that is cut short,
// damaged or of another version is refused, and the caller falls back to an
// older one.
func Restore(data []byte, want Version) (*State, error) {
	plain, err := unpacker.DecodeAll(data, nil)
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
			return nil, &bfcodec.Error{What: "snapshot", Reason: fmt.Errorf("holds %T", op)}
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
