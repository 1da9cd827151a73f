package bfconfig

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
)

// entry is an object as a state holds it.
type entry struct {
	object Object
	// revision is the version that put the object as it is.
	revision Version
	hash     Digest
}

// State is one whole version; it never changes once made.
type State struct {
	version Version
	objects map[Ref]entry
	// referrers counts, for each object, the objects that need it.
	referrers map[Ref]int
	// sum is the digest of the objects without the version.
	sum Digest
}

// Empty is version 0, with no objects.
func Empty() *State {
	return &State{objects: map[Ref]entry{}, referrers: map[Ref]int{}}
}

// Version is the state's place in the total order.
func (s *State) Version() Version { return s.version }

// Digest identifies the state's whole content and its version.
func (s *State) Digest() Digest { return s.sum.plus(hashVersion(s.version)) }

// Len is how many objects the state has.
func (s *State) Len() int { return len(s.objects) }

// Object returns the object that ref names.
func (s *State) Object(ref Ref) (Object, bool) {
	e, found := s.objects[ref]
	return e.object, found
}

// Revision is the version that last put the object that ref names, 0 where there is none.
func (s *State) Revision(ref Ref) Version { return s.objects[ref].revision }

// All gives the objects of a kind in no order, for those who need none: sorting
// thousands of them is most of what building a view would cost.
func (s *State) All(kind Kind) iter.Seq[Object] {
	return func(yield func(Object) bool) {
		for ref, e := range s.objects {
			if ref.Kind == kind && !yield(e.object) {
				return
			}
		}
	}
}

// Objects lists the objects of a kind by name.
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

// DanglingError reports a reference that would not resolve.
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

// AmbiguousError reports two routes that would match the same request equally.
type AmbiguousError struct {
	First, Second Ref
	Prefix        string
	Method        string
}

// Error names both routes and what they share.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("%s and %s both match %s %s", e.First, e.Second, e.Method, e.Prefix)
}

// OverlapError reports two events that put one route under two policies at the same time.
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

// Propose builds the version after s that change leads to, and the delta to it.
//
// On an error s is what it was and nothing of the change exists anywhere.
func (s *State) Propose(change Change) (*State, Delta, error) {
	next, err := s.run(change)
	if err != nil {
		return nil, Delta{}, err
	}
	return next, Delta{version: next.version, digest: next.Digest(), change: change}, nil
}

// VersionError reports a delta for another version than the one after the state's.
type VersionError struct {
	Held, Delta Version
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("delta to version %d does not apply to version %d", e.Delta, e.Held)
}

// DigestError reports that a version came out with another content than its author's.
type DigestError struct {
	Version   Version
	Got, Want Digest
}

// Error names the version and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("version %d has digest %s instead of %s", e.Version, e.Got, e.Want)
}

// Apply builds the version that delta leads to.
//
// The result is checked whole before anyone can see it: on an error the older
// version stays in force, so a bad version is never applied in part.
func (s *State) Apply(delta Delta) (*State, error) {
	if delta.version != s.version+1 {
		return nil, &VersionError{Held: s.version, Delta: delta.version}
	}
	next, err := s.run(delta.change)
	if err != nil {
		return nil, err
	}
	if got := next.Digest(); got != delta.digest {
		return nil, &DigestError{Version: delta.version, Got: got, Want: delta.digest}
	}
	return next, nil
}

// run is the one place where operations change a state; it validates the result.
func (s *State) run(change Change) (*State, error) {
	if len(change.ops) == 0 {
		return nil, &EmptyChangeError{ID: change.id}
	}
	if err := change.check(); err != nil {
		return nil, err
	}
	next := &State{
		version:   s.version + 1,
		objects:   maps.Clone(s.objects),
		referrers: maps.Clone(s.referrers),
		sum:       s.sum,
	}
	for _, op := range change.ops {
		switch op := op.(type) {
		case Put:
			if err := next.put(op.Object); err != nil {
				return nil, err
			}
		case Remove:
			if !next.drop(op.Ref) {
				return nil, &MissingError{Ref: op.Ref}
			}
		default:
			return nil, fmt.Errorf("operation of unknown type %T", op)
		}
	}
	if err := next.validate(change.ops); err != nil {
		return nil, err
	}
	return next, nil
}

func (s *State) put(object Object) error {
	if object == nil {
		return errors.New("operation without an object")
	}
	if err := object.check(); err != nil {
		return err
	}
	hash, err := hashObject(object, s.version)
	if err != nil {
		return err
	}
	ref := object.Ref()
	s.drop(ref)
	s.objects[ref] = entry{object: object, revision: s.version, hash: hash}
	s.sum = s.sum.plus(hash)
	for _, needed := range object.references() {
		s.referrers[needed]++
	}
	return nil
}

func (s *State) drop(ref Ref) bool {
	e, found := s.objects[ref]
	if !found {
		return false
	}
	delete(s.objects, ref)
	s.sum = s.sum.minus(e.hash)
	for _, needed := range e.object.references() {
		if s.referrers[needed]--; s.referrers[needed] == 0 {
			delete(s.referrers, needed)
		}
	}
	return true
}

// validate checks what ops could have broken; the state before them was valid.
func (s *State) validate(ops []Op) error {
	for _, op := range ops {
		ref := op.Target()
		e, found := s.objects[ref]
		if !found {
			if s.referrers[ref] > 0 {
				return &DanglingError{From: s.anyReferrer(ref), Missing: ref}
			}
			continue
		}
		for _, needed := range e.object.references() {
			if _, exists := s.objects[needed]; !exists {
				return &DanglingError{From: ref, Missing: needed}
			}
		}
	}
	return s.validateRivals(ops)
}

// anyReferrer finds the first object, by kind and name, that needs ref.
func (s *State) anyReferrer(ref Ref) Ref {
	var first Ref
	for from, e := range s.objects {
		if slices.Contains(e.object.references(), ref) && (first == Ref{} || from.String() < first.String()) {
			first = from
		}
	}
	return first
}

// validateRivals refuses routes and events whose meaning would depend on an order between them.
func (s *State) validateRivals(ops []Op) error {
	found := s.rivals(ops)
	for _, op := range ops {
		e, exists := s.objects[op.Target()]
		if !exists {
			continue
		}
		var err error
		switch object := e.object.(type) {
		case RouteSpec:
			err = rivalRoute(object, found.routes[object.Prefix])
		case EventSpec:
			err = rivalEvent(object, found.events)
		case ServiceSpec, PolicySpec:
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// rivals are the objects that those of a change are compared with, by name.
type rivals struct {
	routes map[string][]RouteSpec // by prefix
	events []EventSpec
}

// rivals reads the state once, however many operations there are: a snapshot
// puts thousands of routes at once, and a node that restarts waits for it.
func (s *State) rivals(ops []Op) rivals {
	found := rivals{routes: map[string][]RouteSpec{}}
	events := false
	for _, op := range ops {
		switch object := s.objects[op.Target()].object.(type) {
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
			if list, wanted := found.routes[object.Prefix]; wanted {
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

func rivalRoute(route RouteSpec, samePrefix []RouteSpec) error {
	for _, rival := range samePrefix {
		if rival.Name == route.Name {
			continue
		}
		if method, shared := sharedMethod(route.Methods, rival.Methods); shared {
			return &AmbiguousError{First: rival.Ref(), Second: route.Ref(), Prefix: route.Prefix, Method: method}
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
	// A route for every method beside one for some is decided by the method.
	return "", false
}

func rivalEvent(event EventSpec, events []EventSpec) error {
	for _, rival := range events {
		if rival.Name == event.Name || !rival.Start.Before(event.End) || !event.Start.Before(rival.End) {
			continue
		}
		for _, o := range event.Overrides {
			if slices.ContainsFunc(rival.Overrides, func(r Override) bool { return r.Route == o.Route }) {
				return &OverlapError{First: rival.Ref(), Second: event.Ref(), Route: o.Route}
			}
		}
	}
	return nil
}
