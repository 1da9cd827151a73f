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

// naive is a version as a plain map; every step copies and checks all of it.
type naive struct {
	version Version
	objects map[Ref]entry
}

// next runs the operations and collects the kind of every fault of the result.
func (n naive) next(ops []Op) (naive, map[string]bool) {
	after := naive{version: n.version + 1, objects: maps.Clone(n.objects)}
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
			after.objects[op.Target()] = entry{object: put.Object, revision: after.version}
			continue
		}
		if _, found := after.objects[op.Target()]; !found {
			fault(&MissingError{})
		}
		delete(after.objects, op.Target())
	}
	for _, a := range after.objects {
		for _, needed := range a.object.references() {
			if _, found := after.objects[needed]; !found {
				fault(&DanglingError{})
			}
		}
		for _, b := range after.objects {
			after.compare(a.object, b.object, fault)
		}
	}
	return after, faults
}

func (naive) compare(a, b Object, fault func(error)) {
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

// digest adds up all hashes with math/big.
func (n naive) digest(t *rapid.T) Digest {
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

// same fails unless the state is exactly the naive version.
func (n naive) same(t *rapid.T, s *State) {
	if s.Version() != n.version || s.Len() != len(n.objects) || s.Digest() != n.digest(t) {
		t.Fatalf("version %d with %d objects, naive: %d with %d", s.Version(), s.Len(), n.version, len(n.objects))
	}
	for ref, e := range n.objects {
		object, found := s.Object(ref)
		if !found || !Equal(object, e.object) || s.Revision(ref) != e.revision {
			t.Fatalf("%s at revision %d, naive: %d", ref, s.Revision(ref), e.revision)
		}
	}
}

var eventTimes = time.Date(2026, 10, 1, 8, 0, 0, 0, time.FixedZone("CEST", 7200))

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
		start := eventTimes.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "start")) * time.Hour)
		length := time.Duration(rapid.IntRange(0, 3).Draw(t, "length")) * time.Hour
		event := EventSpec{Name: ref.Name, Start: start, End: start.Add(length)}
		for range rapid.IntRange(0, 2).Draw(t, "overrides") {
			event.Overrides = append(event.Overrides, Override{Route: name("route"), Policy: name("policy")})
		}
		return Put{event}
	}
}

// base gives every draw a chance to be valid: routes and events need something to point at.
func base() []Op {
	var ops []Op
	for _, name := range []string{"a", "b", "c"} {
		ops = append(ops,
			Put{ServiceSpec{Name: name}},
			Put{PolicySpec{Name: name, Class: "query", Deadline: time.Second}},
			Put{RouteSpec{Name: name, Prefix: "/" + name, Service: name, Policy: name}})
	}
	return ops
}

// Every node must come to the same state as its author, or refuse the whole
// change. The real code updates counts and sums by the operations alone; the
// naive one looks at everything each time. Where they differ, a node would
// hold a dangling route, or report a digest that no other node has.
func TestStateMatchesNaive(t *testing.T) {
	accepted, refused := 0, map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		real, model := Empty(), naive{objects: map[Ref]entry{}}
		for step := range 25 {
			ops := rapid.SliceOfN(rapid.Custom(drawOp), min(step%8, 1), 3).Draw(t, "ops")
			if step == 0 {
				ops = base()
			}
			expected, faults := model.next(ops)
			change := NewChange(fmt.Sprint("c", step), "ada", eventTimes, ops)
			next, delta, err := real.Propose(change)
			if (err == nil) != (len(faults) == 0) || err != nil && !faults[fmt.Sprintf("%T", err)] {
				t.Fatalf("%T (%v), naive: %v", err, err, faults)
			}
			model.same(t, real)
			if err != nil {
				refused[fmt.Sprintf("%T", err)]++
				continue
			}
			accepted++
			expected.same(t, next)
			real, model = travel(t, real, delta), expected
			model.same(t, real)
		}
	})
	t.Logf("accepted %d, refused %v", accepted, refused)
	if accepted == 0 || len(refused) < 6 {
		t.Fatal("the cases drawn reach too little")
	}
}

// travel takes the state to another node: the delta by its bytes, then the whole as a snapshot.
func travel(t *rapid.T, s *State, delta Delta) *State {
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
		t.Fatalf("delta changed on the way: %v", err)
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
