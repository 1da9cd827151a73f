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

// exampleStates returns two consecutive valid states and the delta between them.
func exampleStates(t testing.TB) (before, after *State, delta Delta) {
	t.Helper()
	before, _, err := Empty().Propose(NewChange("first", "ada", time.UnixMilli(1), baseOps()))
	if err != nil {
		t.Fatal(err)
	}
	after, delta, err = before.Propose(NewChange("second", "bo", time.UnixMilli(2), []Op{
		Put{RouteSpec{Name: "logos", Prefix: "/logos", Methods: []string{"GET"}, Service: "a", Policy: "b"}},
		Put{EventSpec{Name: "deadline", Start: eventStart, End: eventStart.Add(time.Hour),
			Overrides: []Override{{Route: "logos", Policy: "c"}}}},
		Remove{Ref{KindRoute, "b"}},
	}))
	if err != nil {
		t.Fatal(err)
	}
	return before, after, delta
}

func encodedExamples(t testing.TB) (delta, snapshot []byte) {
	t.Helper()
	_, after, step := exampleStates(t)
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

// forEachCorruption calls visit with data truncated at every length and with every single bit flipped.
func forEachCorruption(data []byte, visit func([]byte)) {
	for i := range data {
		visit(data[:i])
		for bit := range 8 {
			flipped := slices.Clone(data)
			flipped[i] ^= 1 << bit
			visit(flipped)
		}
	}
}

// Truncated, corrupt or foreign data must be rejected or produce exactly the
// author's state, and must never modify the current state.
func TestCorruptInputIsNeverPartlyApplied(t *testing.T) {
	is := is.New(t)
	before, after, _ := exampleStates(t)
	digest := before.Digest()
	delta, snapshot := encodedExamples(t)
	forEachCorruption(delta, func(data []byte) {
		if decoded, err := DecodeDelta(data); err == nil {
			if next, err := before.Apply(decoded); err == nil {
				is.Equal(next.Digest(), after.Digest())
			}
		}
		is.Equal(before.Digest(), digest)
	})
	forEachCorruption(snapshot, func(data []byte) {
		if state, err := Restore(data, after.Version()); err == nil {
			is.Equal(state.Digest(), after.Digest())
		}
	})
	plain, err := decompressor.DecodeAll(snapshot, nil)
	is.NoErr(err)
	forEachCorruption(plain, func(data []byte) { // bypasses zstd's checksum
		if state, err := Restore(compressor.EncodeAll(data, nil), after.Version()); err == nil {
			is.Equal(state.Digest(), after.Digest())
		}
	})
	var versionErr *VersionError
	_, err = Restore(snapshot, after.Version()+1)
	is.True(errors.As(err, &versionErr))
	var codec *bfcodec.Error
	for _, invalid := range [][]byte{nil, delta, []byte("GET / HTTP/1.1\r\n\r\n"), {0xf6}, {0xa0}, {0x80}} {
		_, err = Restore(invalid, after.Version())
		is.True(errors.As(err, &codec))
	}
	for _, invalid := range [][]byte{nil, snapshot, []byte("GET / HTTP/1.1\r\n\r\n"), {0xf6}, {0xa0}, {0x80}} {
		_, err = DecodeDelta(invalid)
		is.True(errors.As(err, &codec))
	}
}

// A change that can be encoded but not decoded, such as one with an author that
// is not UTF-8, must be rejected. Once committed, it would block every node at
// the preceding version.
func TestUndecodableChangeIsRejected(t *testing.T) {
	before, _, _ := exampleStates(t)
	ops := []Op{Put{ServiceSpec{Name: "new"}}}
	long := strings.Repeat("x", 200)
	for _, c := range []struct{ id, author, field string }{
		{"x", "\xff", "author"}, {"x", "a\nb", "author"}, {"x", long, "author"},
		{"", "ada", "id"}, {"a/b", "ada", "id"}, {"\xff", "ada", "id"}, {long, "ada", "id"},
	} {
		t.Run(fmt.Sprintf("%q by %q", c.id, c.author), func(t *testing.T) {
			is := is.New(t)
			_, _, err := before.Propose(NewChange(c.id, c.author, time.UnixMilli(1), ops))
			var changeErr *ChangeError
			is.True(errors.As(err, &changeErr))
			is.Equal(changeErr.Field, c.field)
		})
	}
}

// A year beyond 9999 is valid in CBOR but not in JSON, the format of staged
// changes, so it must be rejected.
func TestEventTimesFitBothEncodings(t *testing.T) {
	is := is.New(t)
	for _, year := range []int{1, 1969, 10_000} {
		start := time.Date(year, 5, 1, 0, 0, 0, 0, time.UTC)
		ops := []Op{Put{EventSpec{Name: "far", Start: start, End: start.Add(time.Hour)}}}
		_, _, err := Empty().Propose(NewChange("x", "ada", start, ops))
		var field *FieldError
		is.True(errors.As(err, &field))
	}
	_, _, delta := exampleStates(t)
	data, err := EncodeOps(delta.Change().Ops())
	is.NoErr(err)
	ops, err := DecodeOps(data)
	is.NoErr(err)
	is.Equal(len(ops), 3)
	event := ops[1].(Put).Object
	is.True(Equal(event, delta.Change().Ops()[1].(Put).Object))
}

// A misspelled field must be rejected. If it were ignored, a change could be
// confirmed without the limit that it was meant to set.
func TestUnknownFieldIsRejected(t *testing.T) {
	is := is.New(t)
	var codec *bfcodec.Error
	for _, text := range []string{
		`[{"service":{"name":"a","slot":3}}]`, `[{"servise":{"name":"a"}}]`, `[{}]`, `[null]`, `{}`, `[] []`,
		`[{"service":{"name":"a"},"remove":{"kind":"service","name":"a"}}]`,
	} {
		_, err := DecodeOps([]byte(text))
		is.True(errors.As(err, &codec)) // rejected
	}
}

// A small frame that decompresses beyond the node's memory limit of 128 MB
// must be rejected, or the process would be killed.
func TestOversizedSnapshotIsRejected(t *testing.T) {
	is := is.New(t)
	bomb := compressor.EncodeAll(make([]byte, maxSnapshotSize+1), nil)
	_, err := Restore(bomb, 1)
	var codec *bfcodec.Error
	is.True(errors.As(err, &codec))
	is.True(maxSnapshotSize <= 32<<20) // a quarter of the node's memory limit
}

func FuzzDecodeDelta(f *testing.F) {
	delta, snapshot := encodedExamples(f)
	f.Add(delta)
	f.Add(snapshot)
	f.Add([]byte{0xf6})
	before, after, _ := exampleStates(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := DecodeDelta(data)
		if err != nil {
			return
		}
		if _, err := decoded.Encode(); err != nil {
			t.Fatalf("decoded delta can't be encoded: %v", err)
		}
		if next, err := before.Apply(decoded); err == nil && next.Version() != after.Version() {
			t.Fatalf("applied to version %d", next.Version())
		}
	})
}

func FuzzRestore(f *testing.F) {
	delta, snapshot := encodedExamples(f)
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
			t.Fatalf("restored snapshot can't be encoded: %v", err)
		}
		if same, err := Restore(again, 2); err != nil || same.Digest() != state.Digest() {
			t.Fatalf("snapshot changed by encoding and restoring: %v", err)
		}
	})
}
