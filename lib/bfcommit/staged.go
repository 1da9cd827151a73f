package bfcommit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfstore"
)

// maxStagedSize bounds a staged row: every change travels to every node, and a
// node has 4 KB a second for all of its control traffic.
const maxStagedSize = 256 << 10

// Staged is a change that was valid on its base and waits for its confirm.
type Staged struct {
	id     string
	author string
	at     time.Time
	base   bfconfig.Version
	ops    []bfconfig.Op
	// revisions holds, for each object read or written, its revision at the base.
	revisions map[bfconfig.Ref]bfconfig.Version
}

// ID is the change's own name, minted by the operator's client.
func (s Staged) ID() string { return s.id }

// Author is the operator who staged the change.
func (s Staged) Author() string { return s.author }

// At is when the change was staged.
func (s Staged) At() time.Time { return s.at }

// Base is the version the change was validated on.
func (s Staged) Base() bfconfig.Version { return s.base }

// Ops are the operations in the order given.
func (s Staged) Ops() []bfconfig.Op { return s.ops }

// Reads lists every object read or written, in order.
func (s Staged) Reads() []bfconfig.Ref {
	return slices.SortedFunc(maps.Keys(s.revisions), compareRefs)
}

func compareRefs(a, b bfconfig.Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// SizeError reports a change too large to be staged.
type SizeError struct{ Size, Limit int }

// Error gives both sizes in bytes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("change has %d bytes, at most %d are allowed", e.Size, e.Limit)
}

// Stage validates the operations on state and records the revisions of what they read and write.
func Stage(state *bfconfig.State, id, author string, at time.Time, ops []bfconfig.Op) (Staged, error) {
	if _, _, err := state.Propose(bfconfig.NewChange(id, author, at, ops)); err != nil {
		return Staged{}, err
	}
	staged := Staged{
		id: id, author: author, at: at.UTC().Truncate(time.Millisecond),
		base: state.Version(), ops: ops, revisions: map[bfconfig.Ref]bfconfig.Version{},
	}
	for _, ref := range touched(ops) {
		staged.revisions[ref] = state.Revision(ref)
	}
	data, err := staged.Encode()
	if err != nil {
		return Staged{}, err
	}
	if len(data) > maxStagedSize {
		return Staged{}, &SizeError{Size: len(data), Limit: maxStagedSize}
	}
	return staged, nil
}

// touched lists the objects that ops write, and those that what they put refers to.
func touched(ops []bfconfig.Op) []bfconfig.Ref {
	var refs []bfconfig.Ref
	for _, op := range ops {
		refs = append(refs, op.Target())
		if put, isPut := op.(bfconfig.Put); isPut {
			refs = append(refs, bfconfig.References(put.Object)...)
		}
	}
	return refs
}

type stagedWire struct {
	ID        string           `cbor:"1,keyasint"`
	Author    string           `cbor:"2,keyasint"`
	At        int64            `cbor:"3,keyasint"` // milliseconds since 1970
	Base      bfconfig.Version `cbor:"4,keyasint"`
	Ops       []byte           `cbor:"5,keyasint"`
	Revisions []revisionWire   `cbor:"6,keyasint"`
}

type revisionWire struct {
	Ref      bfconfig.Ref     `cbor:"1,keyasint"`
	Revision bfconfig.Version `cbor:"2,keyasint"`
}

// Encode writes the value of a staged row.
func (s Staged) Encode() ([]byte, error) {
	ops, err := bfconfig.EncodeOps(s.ops)
	if err != nil {
		return nil, err
	}
	wire := stagedWire{ID: s.id, Author: s.author, At: s.at.UnixMilli(), Base: s.base, Ops: ops}
	for _, ref := range s.Reads() {
		wire.Revisions = append(wire.Revisions, revisionWire{ref, s.revisions[ref]})
	}
	return encMode.Marshal(wire)
}

// Transaction writes the staged row, unless the change is staged or decided already.
func (s Staged) Transaction() (bfstore.Transaction, error) {
	data, err := s.Encode()
	if err != nil {
		return bfstore.Transaction{}, err
	}
	return bfstore.Transaction{
		Conditions: []bfstore.Condition{{Key: ChangeKey(s.id)}, {Key: StagedKey(s.id)}},
		Writes:     []bfstore.Write{{Key: StagedKey(s.id), Value: data}},
	}, nil
}

// DecodeStaged reads a staged row; a row that does not exist gives NotStagedError.
func DecodeStaged(row bfstore.Row) (Staged, error) {
	if row.Revision == 0 {
		return Staged{}, &NotStagedError{Key: row.Key}
	}
	var wire stagedWire
	if err := decMode.Unmarshal(row.Value, &wire); err != nil {
		return Staged{}, &RowError{Key: row.Key, Reason: err}
	}
	ops, err := bfconfig.DecodeOps(wire.Ops)
	if err != nil {
		return Staged{}, &RowError{Key: row.Key, Reason: err}
	}
	if StagedKey(wire.ID) != row.Key {
		return Staged{}, &RowError{Key: row.Key, Reason: fmt.Errorf("holds change %q", wire.ID)}
	}
	staged := Staged{
		id: wire.ID, author: wire.Author, at: time.UnixMilli(wire.At).UTC(), base: wire.Base, ops: ops,
		revisions: map[bfconfig.Ref]bfconfig.Version{},
	}
	for _, r := range wire.Revisions {
		staged.revisions[r.Ref] = r.Revision
	}
	return staged, staged.complete(row.Key)
}

// complete refuses a row that lacks the revision of an object it needs: taken
// as unchanged, such an object would let the change overwrite another's unseen.
func (s Staged) complete(key string) error {
	for _, ref := range touched(s.ops) {
		if _, found := s.revisions[ref]; !found {
			return &RowError{Key: key, Reason: fmt.Errorf("no revision of %s", ref)}
		}
	}
	return nil
}

// NotStagedError reports a change that is neither staged nor decided.
type NotStagedError struct{ Key string }

// Error names the missing row.
func (e *NotStagedError) Error() string { return fmt.Sprintf("no change is staged as %q", e.Key) }

// Difference is what a change makes of one object; nil stands for no object.
type Difference struct {
	Ref    bfconfig.Ref
	Before bfconfig.Object
	After  bfconfig.Object
}

// Diff lists what the staged change would make of state, in the order of its operations.
func (s Staged) Diff(state *bfconfig.State) []Difference {
	var list []Difference
	places := map[bfconfig.Ref]int{}
	for _, op := range s.ops {
		ref := op.Target()
		place, seen := places[ref]
		if !seen {
			place = len(list)
			places[ref] = place
			before, _ := state.Object(ref)
			list = append(list, Difference{Ref: ref, Before: before})
		}
		switch op := op.(type) {
		case bfconfig.Put:
			list[place].After = op.Object
		case bfconfig.Remove:
			list[place].After = nil
		}
	}
	return slices.DeleteFunc(list, func(d Difference) bool { return d.Before == nil && d.After == nil })
}
