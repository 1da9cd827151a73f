package bfconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfcodec"
)

// portal is a valid state and the delta that led to it from the one before.
func portal(t testing.TB) (before, after *State, delta Delta) {
	t.Helper()
	before, _, err := Empty().Propose(NewChange("first", "ada", time.UnixMilli(1), base()))
	if err != nil {
		t.Fatal(err)
	}
	after, delta, err = before.Propose(NewChange("second", "bo", time.UnixMilli(2), []Op{
		Put{RouteSpec{Name: "logos", Prefix: "/logos", Methods: []string{"GET"}, Service: "a", Policy: "b"}},
		Put{EventSpec{Name: "deadline", Start: eventTimes, End: eventTimes.Add(time.Hour),
			Overrides: []Override{{Route: "logos", Policy: "c"}}}},
		Remove{Ref{KindRoute, "b"}},
	}))
	if err != nil {
		t.Fatal(err)
	}
	return before, after, delta
}

func encoded(t testing.TB) (delta, snapshot []byte) {
	t.Helper()
	_, after, step := portal(t)
	delta, err := step.Encode()
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err = after.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return delta, snapshot
}

// damaged calls each with data cut at every place and with every bit turned.
func damaged(data []byte, each func([]byte)) {
	for i := range data {
		each(data[:i])
		for bit := range 8 {
			flipped := slices.Clone(data)
			flipped[i] ^= 1 << bit
			each(flipped)
		}
	}
}

// A frame or an object arrives cut short, with a bit turned, or it is another
// one's. The node must refuse it whole or get exactly the state its author
// meant; the state it held before must not change either way.
func TestDamagedBytesNeverHalfApply(t *testing.T) {
	is := is.New(t)
	before, after, _ := portal(t)
	digest := before.Digest()
	delta, snapshot := encoded(t)
	damaged(delta, func(data []byte) {
		if decoded, err := DecodeDelta(data); err == nil {
			if next, err := before.Apply(decoded); err == nil {
				is.Equal(next.Digest(), after.Digest())
			}
		}
		is.Equal(before.Digest(), digest)
	})
	damaged(snapshot, func(data []byte) {
		if state, err := Restore(data, after.Version()); err == nil {
			is.Equal(state.Digest(), after.Digest())
		}
	})
	plain, err := unpacker.DecodeAll(snapshot, nil)
	is.NoErr(err)
	damaged(plain, func(data []byte) { // past zstd's own checksum
		if state, err := Restore(packer.EncodeAll(data, nil), after.Version()); err == nil {
			is.Equal(state.Digest(), after.Digest())
		}
	})
	var version *VersionError
	_, err = Restore(snapshot, after.Version()+1)
	is.True(errors.As(err, &version))
	var codec *bfcodec.Error
	for _, foreign := range [][]byte{nil, delta, []byte("GET / HTTP/1.1\r\n\r\n"), {0xf6}, {0xa0}, {0x80}} {
		_, err = Restore(foreign, after.Version())
		is.True(errors.As(err, &codec))
	}
	for _, foreign := range [][]byte{nil, snapshot, []byte("GET / HTTP/1.1\r\n\r\n"), {0xf6}, {0xa0}, {0x80}} {
		_, err = DecodeDelta(foreign)
		is.True(errors.As(err, &codec))
	}
}

// An operator's client sends a change whose author is not UTF-8. Were it
// committed, its row could be written but never read: every node would stay at
// the version before it, and no later change could reach any of them.
func TestChangeThatNoNodeCouldReadIsRefused(t *testing.T) {
	before, _, _ := portal(t)
	ops := []Op{Put{ServiceSpec{Name: "new"}}}
	long := strings.Repeat("x", 200)
	for _, c := range []struct{ id, author, field string }{
		{"x", "\xff", "author"}, {"x", "a\nb", "author"}, {"x", long, "author"},
		{"", "ada", "id"}, {"a/b", "ada", "id"}, {"\xff", "ada", "id"}, {long, "ada", "id"},
	} {
		t.Run(fmt.Sprintf("%q by %q", c.id, c.author), func(t *testing.T) {
			is := is.New(t)
			_, _, err := before.Propose(NewChange(c.id, c.author, time.UnixMilli(1), ops))
			var wrong *ChangeError
			is.True(errors.As(err, &wrong))
			is.Equal(wrong.Field, c.field)
		})
	}
}

// A change that can be staged must be storable as JSON too: a time beyond the
// year 9999 is valid in CBOR and impossible in the form of staged changes.
func TestEventTimesHaveBothForms(t *testing.T) {
	is := is.New(t)
	for _, year := range []int{1, 1969, 10_000} {
		start := time.Date(year, 5, 1, 0, 0, 0, 0, time.UTC)
		ops := []Op{Put{EventSpec{Name: "far", Start: start, End: start.Add(time.Hour)}}}
		_, _, err := Empty().Propose(NewChange("x", "ada", start, ops))
		var field *FieldError
		is.True(errors.As(err, &field))
	}
	_, _, delta := portal(t)
	data, err := EncodeOps(delta.Change().Ops())
	is.NoErr(err)
	ops, err := DecodeOps(data)
	is.NoErr(err)
	is.Equal(len(ops), 3)
	event := ops[1].(Put).Object
	is.True(Equal(event, delta.Change().Ops()[1].(Put).Object))
}

// An operator mistypes a field. Taken silently, the change would be confirmed
// without what it was made for, and a class would run without its limit.
func TestMistypedFieldIsRefused(t *testing.T) {
	is := is.New(t)
	var codec *bfcodec.Error
	for _, text := range []string{
		`[{"service":{"name":"a","slot":3}}]`, `[{"servise":{"name":"a"}}]`, `[{}]`, `[null]`, `{}`, `[] []`,
		`[{"service":{"name":"a"},"remove":{"kind":"service","name":"a"}}]`,
	} {
		_, err := DecodeOps([]byte(text))
		is.True(errors.As(err, &codec)) // refused
	}
}

// A node's memory is 128 MB. A frame of a few kilobytes that unpacks to more
// would have it killed, and with it every request it carries.
func TestSnapshotThatUnpacksWithoutBoundIsRefused(t *testing.T) {
	is := is.New(t)
	bomb := packer.EncodeAll(make([]byte, maxSnapshotSize+1), nil)
	_, err := Restore(bomb, 1)
	var codec *bfcodec.Error
	is.True(errors.As(err, &codec))
	is.True(maxSnapshotSize <= 32<<20) // a quarter of the node's memory
}

func FuzzDecodeDelta(f *testing.F) {
	delta, snapshot := encoded(f)
	f.Add(delta)
	f.Add(snapshot)
	f.Add([]byte{0xf6})
	before, after, _ := portal(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeDelta(data)
		if err != nil {
			return
		}
		if _, err := decoded.Encode(); err != nil {
			t.Fatalf("read but not writable: %v", err)
		}
		if next, err := before.Apply(decoded); err == nil && next.Version() != after.Version() {
			t.Fatalf("applied to version %d", next.Version())
		}
	})
}

func FuzzRestore(f *testing.F) {
	delta, snapshot := encoded(f)
	f.Add(snapshot)
	f.Add(delta)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := Restore(data, 2)
		if err != nil {
			return
		}
		again, err := state.EncodeSnapshot()
		if err != nil {
			t.Fatalf("read but not writable: %v", err)
		}
		if same, err := Restore(again, 2); err != nil || same.Digest() != state.Digest() {
			t.Fatalf("changed on the way: %v", err)
		}
	})
}
