package bfconfig

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
)

// entry is an object in a state with its metadata.
type entry struct {
	object Object
	// revision is the version in which the object was last put.
	revision Version
	hash     Digest
}

// State is one complete version of the configuration; it is immutable.
type State struct {
	version Version
	objects map[Ref]entry
	// referrers counts the references to each object.
	referrers map[Ref]int
	// objectsDigest is the sum of the object hashes, without the hash of the version.
	objectsDigest Digest
}

// Empty returns version 0, which has no objects.
func Empty() *State {
	return &State{objects: map[Ref]entry{}, referrers: map[Ref]int{}}
}

// Version returns the version number of the state.
func (s *State) Version() Version { return s.version }

// Digest returns the digest of the state's content and version.
func (s *State) Digest() Digest { return s.objectsDigest.add(hashVersion(s.version)) }

// Len returns the number of objects.
func (s *State) Len() int { return len(s.objects) }

// Object returns the object that ref identifies, and whether it exists.
func (s *State) Object(ref Ref) (Object, bool) {
	e, found := s.objects[ref]
	return e.object, found
}

// Revision returns the version in which the object was last put, 0 if it does not exist.
func (s *State) Revision(ref Ref) Version { return s.objects[ref].revision }

// All iterates over the objects of a kind in no particular order. It avoids the
// sort of Objects, which would dominate the cost of building a view.
func (s *State) All(kind Kind) iter.Seq[Object] {
	return func(yield func(Object) bool) {
		for ref, e := range s.objects {
			if ref.Kind == kind && !yield(e.object) {
				return
			}
		}
	}
}

// Objects returns the objects of a kind, sorted by name.
func (s *State) Objects(kind Kind) []Object {
	var list []Object
	for ref, e := range s.objects {
		if ref.Kind == kind {
			list = append(list, e.object)
		}
	}
	slices.SortFunc(list, func(a, b Object) int { return cmp.Compare(a.Ref().Name, b.Ref().Name) })
	return list
}

// DanglingError reports a reference to an object that does not exist.
type DanglingError struct {
	From    Ref
	Missing Ref
}

// Error names both objects.
func (e *DanglingError) Error() string {
	return fmt.Sprintf("%s needs %s, which does not exist", e.From, e.Missing)
}

// MissingError reports the removal of an object that does not exist.
type MissingError struct{ Ref Ref }

// Error names the object.
func (e *MissingError) Error() string { return fmt.Sprintf("%s does not exist", e.Ref) }

// AmbiguousError reports two routes with the same prefix and a method in common.
type AmbiguousError struct {
	First, Second Ref
	Prefix        string
	Method        string
}

// Error names both routes, the method and the prefix.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("%s and %s both match %s %s", e.First, e.Second, e.Method, e.Prefix)
}

// OverlapError reports two events that override the policy of one route at the same time.
type OverlapError struct {
	First, Second Ref
	Route         string
}

// Error names the events and the route.
func (e *OverlapError) Error() string {
	return fmt.Sprintf("%s and %s overlap and both override route %s", e.First, e.Second, e.Route)
}

// EmptyChangeError reports a change without operations.
type EmptyChangeError struct{ ID string }

// Error names the change.
func (e *EmptyChangeError) Error() string { return fmt.Sprintf("change %q has no operations", e.ID) }

// Propose applies change to s and returns the next version and the delta to it.
//
// It does not modify s. It fails if the change or the resulting state is invalid.
func (s *State) Propose(change Change) (*State, Delta, error) {
	next, err := s.applyChange(change)
	if err != nil {
		return nil, Delta{}, err
	}
	return next, Delta{version: next.version, digest: next.Digest(), change: change}, nil
}

// VersionError reports a delta or a snapshot of an unexpected version.
type VersionError struct {
	Held, Delta Version
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("delta to version %d does not apply to version %d", e.Delta, e.Held)
}

// DigestError reports that the content of a version differs from the content its author produced.
type DigestError struct {
	Version   Version
	Got, Want Digest
}

// Error names the version and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("version %d has digest %s instead of %s", e.Version, e.Got, e.Want)
}

// Apply returns the version that delta produces.
//
// It does not modify s and validates the result before returning it, so a
// version is never partially applied. It fails with a VersionError if delta
// does not follow s, and with a DigestError if the content differs.
func (s *State) Apply(delta Delta) (*State, error) {
	if delta.version != s.version+1 {
		return nil, &VersionError{Held: s.version, Delta: delta.version}
	}
	next, err := s.applyChange(delta.change)
	if err != nil {
		return nil, err
	}
	if got := next.Digest(); got != delta.digest {
		return nil, &DigestError{Version: delta.version, Got: got, Want: delta.digest}
	}
	return next, nil
}

// applyChange applies the operations to a copy of s and validates the result.
func (s *State) applyChange(change Change) (*State, error) {
	if len(change.ops) == 0 {
		return nil, &EmptyChangeError{ID: change.id}
	}
	if err := change.check(); err != nil {
		return nil, err
	}
	next := &State{
		version:       s.version + 1,
		objects:       maps.Clone(s.objects),
		referrers:     maps.Clone(s.referrers),
		objectsDigest: s.objectsDigest,
	}
	for _, op := range change.ops {
		switch op := op.(type) {
		case Put:
			if err := next.put(op.Object); err != nil {
				return nil, err
			}
		case Remove:
			if !next.remove(op.Ref) {
				return nil, &MissingError{Ref: op.Ref}
			}
		default:
			return nil, fmt.Errorf("unknown operation type %T", op)
		}
	}
	if err := next.validate(change.ops); err != nil {
		return nil, err
	}
	return next, nil
}

func (s *State) put(object Object) error {
	if object == nil {
		return errors.New("put operation has no object")
	}
	if err := object.check(); err != nil {
		return err
	}
	hash, err := hashObject(object, s.version)
	if err != nil {
		return err
	}
	ref := object.Ref()
	s.remove(ref)
	s.objects[ref] = entry{object: object, revision: s.version, hash: hash}
	s.objectsDigest = s.objectsDigest.add(hash)
	for _, required := range object.references() {
		s.referrers[required]++
	}
	return nil
}

func (s *State) remove(ref Ref) bool {
	e, found := s.objects[ref]
	if !found {
		return false
	}
	delete(s.objects, ref)
	s.objectsDigest = s.objectsDigest.subtract(e.hash)
	for _, required := range e.object.references() {
		if s.referrers[required]--; s.referrers[required] == 0 {
			delete(s.referrers, required)
		}
	}
	return true
}

// validate checks the objects affected by ops, assuming that the state was valid before them.
func (s *State) validate(ops []Op) error {
	for _, op := range ops {
		ref := op.ObjectRef()
		e, found := s.objects[ref]
		if !found {
			if s.referrers[ref] > 0 {
				return &DanglingError{From: s.firstReferrer(ref), Missing: ref}
			}
			continue
		}
		for _, needed := range e.object.references() {
			if _, exists := s.objects[needed]; !exists {
				return &DanglingError{From: ref, Missing: needed}
			}
		}
	}
	return s.validateConflicts(ops)
}

// firstReferrer returns the first object, by kind and name, that references ref.
func (s *State) firstReferrer(ref Ref) Ref {
	var first Ref
	for from, e := range s.objects {
		if slices.Contains(e.object.references(), ref) && (first == Ref{} || from.String() < first.String()) {
			first = from
		}
	}
	return first
}

// validateConflicts rejects ambiguous routes and overlapping events, whose
// effect would depend on the order of evaluation.
func (s *State) validateConflicts(ops []Op) error {
	candidates := s.conflictCandidates(ops)
	for _, op := range ops {
		e, exists := s.objects[op.ObjectRef()]
		if !exists {
			continue
		}
		var err error
		switch object := e.object.(type) {
		case RouteSpec:
			err = checkRouteConflict(object, candidates.routes[object.Prefix])
		case EventSpec:
			err = checkEventConflict(object, candidates.events)
		case ServiceSpec, PolicySpec:
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// conflictSet holds the objects, sorted by name, that may conflict with those of a change.
type conflictSet struct {
	routes map[string][]RouteSpec // by prefix
	events []EventSpec
}

// conflictCandidates collects the conflictSet in a single pass over the state. A pass for
// each operation would make restoring a snapshot quadratic and delay restarts.
func (s *State) conflictCandidates(ops []Op) conflictSet {
	found := conflictSet{routes: map[string][]RouteSpec{}}
	events := false
	for _, op := range ops {
		switch object := s.objects[op.ObjectRef()].object.(type) {
		case RouteSpec:
			found.routes[object.Prefix] = nil
		case EventSpec:
			events = true
		}
	}
	if len(found.routes) == 0 && !events {
		return found
	}
	for _, e := range s.objects {
		switch object := e.object.(type) {
		case RouteSpec:
			if list, requested := found.routes[object.Prefix]; requested {
				found.routes[object.Prefix] = append(list, object)
			}
		case EventSpec:
			found.events = append(found.events, object)
		}
	}
	for _, list := range found.routes {
		slices.SortFunc(list, func(a, b RouteSpec) int { return cmp.Compare(a.Name, b.Name) })
	}
	slices.SortFunc(found.events, func(a, b EventSpec) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

func checkRouteConflict(route RouteSpec, samePrefix []RouteSpec) error {
	for _, other := range samePrefix {
		if other.Name == route.Name {
			continue
		}
		if method, shared := sharedMethod(route.Methods, other.Methods); shared {
			return &AmbiguousError{First: other.Ref(), Second: route.Ref(), Prefix: route.Prefix, Method: method}
		}
	}
	return nil
}

func sharedMethod(a, b []string) (string, bool) {
	if len(a) == 0 && len(b) == 0 {
		return "(any method)", true
	}
	for _, m := range a {
		if slices.Contains(b, m) {
			return m, true
		}
	}
	// A route for specific methods takes precedence over one for every method.
	return "", false
}

func checkEventConflict(event EventSpec, events []EventSpec) error {
	for _, other := range events {
		if other.Name == event.Name || !other.Start.Before(event.End) || !event.Start.Before(other.End) {
			continue
		}
		for _, o := range event.Overrides {
			if slices.ContainsFunc(other.Overrides, func(r Override) bool { return r.Route == o.Route }) {
				return &OverlapError{First: other.Ref(), Second: event.Ref(), Route: o.Route}
			}
		}
	}
	return nil
}
