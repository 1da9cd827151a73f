package bfconfig

import (
	"fmt"
	"maps"
	"math/big"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceState is a simple model of State that copies and checks every object at each step.
type referenceState struct {
	version Version
	objects map[Ref]entry
}

// next applies the operations and collects the types of all errors in the result.
func (n referenceState) next(ops []Op) (referenceState, map[string]bool) {
	after := referenceState{version: n.version + 1, objects: maps.Clone(n.objects)}
	faults := map[string]bool{}
	fault := func(err error) { faults[fmt.Sprintf("%T", err)] = true }
	if len(ops) == 0 {
		fault(&EmptyChangeError{})
	}
	for _, op := range ops {
		if put, isPut := op.(Put); isPut {
			if put.Object.check() != nil {
				fault(&FieldError{})
			}
			after.objects[op.ObjectRef()] = entry{object: put.Object, revision: after.version}
			continue
		}
		if _, found := after.objects[op.ObjectRef()]; !found {
			fault(&MissingError{})
		}
		delete(after.objects, op.ObjectRef())
	}
	for _, a := range after.objects {
		for _, required := range a.object.references() {
			if _, found := after.objects[required]; !found {
				fault(&DanglingError{})
			}
		}
		for _, b := range after.objects {
			after.checkConflict(a.object, b.object, fault)
		}
	}
	return after, faults
}

func (referenceState) checkConflict(a, b Object, fault func(error)) {
	if a.Ref() == b.Ref() {
		return
	}
	if r, isRoute := a.(RouteSpec); isRoute {
		if s, both := b.(RouteSpec); both && r.Prefix == s.Prefix {
			shared := len(r.Methods) == 0 && len(s.Methods) == 0
			for _, m := range r.Methods {
				shared = shared || slices.Contains(s.Methods, m)
			}
			if shared {
				fault(&AmbiguousError{})
			}
		}
	}
	if e, isEvent := a.(EventSpec); isEvent {
		if f, both := b.(EventSpec); both && e.Start.Before(f.End) && f.Start.Before(e.End) {
			for _, o := range e.Overrides {
				if slices.ContainsFunc(f.Overrides, func(p Override) bool { return p.Route == o.Route }) {
					fault(&OverlapError{})
				}
			}
		}
	}
}

// digest computes the sum of all hashes with math/big.
func (n referenceState) digest(t *rapid.T) Digest {
	sum := new(big.Int)
	add := func(d Digest) {
		slices.Reverse(d[:])
		sum.Add(sum, new(big.Int).SetBytes(d[:]))
	}
	add(hashVersion(n.version))
	for _, e := range n.objects {
		hash, err := hashObject(e.object, e.revision)
		if err != nil {
			t.Fatal(err)
		}
		add(hash)
	}
	sum.Mod(sum, new(big.Int).Lsh(big.NewInt(1), 128))
	var d Digest
	sum.FillBytes(d[:])
	slices.Reverse(d[:])
	return d
}

// requireEqual fails the test unless s equals the reference state.
func (n referenceState) requireEqual(t *rapid.T, s *State) {
	if s.Version() != n.version || s.Len() != len(n.objects) || s.Digest() != n.digest(t) {
		t.Fatalf("version %d with %d objects, reference: version %d with %d", s.Version(), s.Len(), n.version, len(n.objects))
	}
	for ref, e := range n.objects {
		object, found := s.Object(ref)
		if !found || !Equal(object, e.object) || s.Revision(ref) != e.revision {
			t.Fatalf("%s at revision %d, reference: %d", ref, s.Revision(ref), e.revision)
		}
	}
}

var eventStart = time.Date(2026, 10, 1, 8, 0, 0, 0, time.FixedZone("CEST", 7200))

func drawOp(t *rapid.T) Op {
	name := func(label string) string {
		return rapid.SampledFrom([]string{"a", "a", "b", "b", "c", "c", "d", "Bad_"}).Draw(t, label)
	}
	ref := Ref{rapid.SampledFrom(Kinds()).Draw(t, "kind"), name("name")}
	if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
		return Remove{ref}
	}
	switch ref.Kind {
	case KindService:
		return Put{ServiceSpec{Name: ref.Name, Slots: rapid.IntRange(0, 3).Draw(t, "slots")}}
	case KindPolicy:
		deadline := time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second
		return Put{PolicySpec{Name: ref.Name, Class: "query", Deadline: deadline}}
	case KindRoute:
		return Put{RouteSpec{
			Name: ref.Name, Service: name("service"), Policy: name("policy"),
			Prefix:  rapid.SampledFrom([]string{"/", "/x", "/x/y", "/z"}).Draw(t, "prefix"),
			Methods: rapid.SampledFrom([][]string{nil, nil, {}, {"GET"}, {"GET", "POST"}, {"PUT"}}).Draw(t, "methods"),
		}}
	default:
		start := eventStart.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "start")) * time.Hour)
		length := time.Duration(rapid.IntRange(0, 3).Draw(t, "length")) * time.Hour
		event := EventSpec{Name: ref.Name, Start: start, End: start.Add(length)}
		for range rapid.IntRange(0, 2).Draw(t, "overrides") {
			event.Overrides = append(event.Overrides, Override{Route: name("route"), Policy: name("policy")})
		}
		return Put{event}
	}
}

// baseOps returns objects that generated routes and events can refer to.
func baseOps() []Op {
	var ops []Op
	for _, name := range []string{"a", "b", "c"} {
		ops = append(ops,
			Put{ServiceSpec{Name: name}},
			Put{PolicySpec{Name: name, Class: "query", Deadline: time.Second}},
			Put{RouteSpec{Name: name, Prefix: "/" + name, Service: name, Policy: name}})
	}
	return ops
}

// The incremental validation and digest must agree with a reference that checks
// every object at each step. Otherwise a node could have a dangling route, or a
// digest that differs from every other node's.
func TestStateMatchesReference(t *testing.T) {
	accepted, rejected := 0, map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		real, model := Empty(), referenceState{objects: map[Ref]entry{}}
		for step := range 25 {
			ops := rapid.SliceOfN(rapid.Custom(drawOp), min(step%8, 1), 3).Draw(t, "ops")
			if step == 0 {
				ops = baseOps()
			}
			expected, faults := model.next(ops)
			change := NewChange(fmt.Sprint("c", step), "ada", eventStart, ops)
			next, delta, err := real.Propose(change)
			if (err == nil) != (len(faults) == 0) || err != nil && !faults[fmt.Sprintf("%T", err)] {
				t.Fatalf("%T (%v), reference: %v", err, err, faults)
			}
			model.requireEqual(t, real)
			if err != nil {
				rejected[fmt.Sprintf("%T", err)]++
				continue
			}
			accepted++
			expected.requireEqual(t, next)
			real, model = roundTrip(t, real, delta), expected
			model.requireEqual(t, real)
		}
	})
	t.Logf("accepted %d, rejected %v", accepted, rejected)
	if accepted == 0 || len(rejected) < 6 {
		t.Fatal("the generated cases cover too few errors")
	}
}

// roundTrip applies the delta after encoding and decoding it, then encodes and
// restores the result as a snapshot.
func roundTrip(t *rapid.T, s *State, delta Delta) *State {
	data, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeDelta(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := decoded.Encode()
	if err != nil || !slices.Equal(data, again) {
		t.Fatalf("delta changed by encoding and decoding: %v", err)
	}
	next, err := s.Apply(decoded)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := next.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(snapshot, next.Version())
	if err != nil {
		t.Fatal(err)
	}
	return restored
}
