package bfcommit

import (
	"errors"
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// ConflictError reports that a conflicting change was committed after a change's base.
type ConflictError struct {
	// Object is the object that the other change put or removed.
	Object bfconfig.Ref
	// Version, ChangeID and Author identify the other change; empty if its row could not be read.
	Version  bfconfig.Version
	ChangeID string
	Author   string
	// Reason is the validation error of both changes together; nil if they touch the same object.
	Reason error
}

// Error names the object and the other change.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%s was changed by %q of %s in version %d", e.Object, e.ChangeID, e.Author, e.Version)
	if e.Reason != nil {
		text += ": " + e.Reason.Error()
	}
	return text
}

// Unwrap returns the reason.
func (e *ConflictError) Unwrap() error { return e.Reason }

// Lookup finds the last delta after a version that put or removed an object.
type Lookup func(ref bfconfig.Ref, after bfconfig.Version) (bfconfig.Delta, bool)

// LookupIn returns a Lookup that searches the ordered deltas.
func LookupIn(deltas []bfconfig.Delta) Lookup {
	return func(ref bfconfig.Ref, after bfconfig.Version) (bfconfig.Delta, bool) {
		for i := len(deltas) - 1; i >= 0; i-- {
			if deltas[i].Version() > after && modifies(deltas[i], ref) {
				return deltas[i], true
			}
		}
		return bfconfig.Delta{}, false
	}
}

func modifies(delta bfconfig.Delta, ref bfconfig.Ref) bool {
	for _, op := range delta.Change().Ops() {
		if op.ObjectRef() == ref {
			return true
		}
	}
	return false
}

func newConflict(ref bfconfig.Ref, after bfconfig.Version, reason error, lookup Lookup) *ConflictError {
	conflict := &ConflictError{Object: ref, Reason: reason}
	if delta, found := lookup(ref, after); found {
		conflict.identify(delta)
	}
	return conflict
}

func (e *ConflictError) identify(delta bfconfig.Delta) {
	e.Version = delta.Version()
	e.ChangeID = delta.Change().ID()
	e.Author = delta.Change().Author()
}

// Rebase proposes the staged change on state, its base or a later version.
//
// It succeeds if every object that the change reads or writes still has the
// revision of the base and the result is valid. It returns a ConflictError if a
// later change is the cause, and the validation error otherwise.
func (s Staged) Rebase(state *bfconfig.State, at time.Time, lookup Lookup) (*bfconfig.State, bfconfig.Delta, error) {
	for _, ref := range s.Refs() {
		if state.Revision(ref) != s.revisions[ref] {
			return nil, bfconfig.Delta{}, newConflict(ref, s.base, nil, lookup)
		}
	}
	next, delta, err := state.Propose(bfconfig.NewChange(s.id, s.author, at, s.ops))
	if err == nil {
		return next, delta, nil
	}
	// Two changes of different objects can each be valid but invalid together: one
	// removes a service while the other adds a route to it. This is reported as a
	// conflict too, with the other change.
	for _, ref := range conflictingRefs(err) {
		if state.Revision(ref) > s.base {
			return nil, bfconfig.Delta{}, newConflict(ref, s.base, err, lookup)
		}
	}
	return nil, bfconfig.Delta{}, err
}

// conflictingRefs lists the objects in a validation error that may belong to another change.
func conflictingRefs(err error) []bfconfig.Ref {
	var dangling *bfconfig.DanglingError
	var ambiguous *bfconfig.AmbiguousError
	var overlap *bfconfig.OverlapError
	switch {
	case errors.As(err, &dangling):
		return []bfconfig.Ref{dangling.From}
	case errors.As(err, &ambiguous):
		return []bfconfig.Ref{ambiguous.First, ambiguous.Second}
	case errors.As(err, &overlap):
		return []bfconfig.Ref{overlap.First, overlap.Second}
	}
	return nil
}

// PriorError reports that Undo was called with states that don't fit the version to undo.
type PriorError struct{ Prior, Undone bfconfig.Version }

// Error names both versions.
func (e *PriorError) Error() string {
	return fmt.Sprintf("version %d is not the predecessor of version %d, which is to be undone", e.Prior, e.Undone)
}

// Undo builds the operations that reverse undone as a new change on state.
//
// prior is the version before undone; Undo returns a PriorError otherwise. If a
// later change touched one of the objects, the undo would silently revert that
// change too, so Undo returns a ConflictError.
func Undo(state *bfconfig.State, undone bfconfig.Delta, prior *bfconfig.State, lookup Lookup) ([]bfconfig.Op, error) {
	if prior.Version()+1 != undone.Version() || state.Version() < undone.Version() {
		return nil, &PriorError{Prior: prior.Version(), Undone: undone.Version()}
	}
	var ops []bfconfig.Op
	seen := map[bfconfig.Ref]bool{}
	for _, op := range undone.Change().Ops() {
		ref := op.ObjectRef()
		if seen[ref] {
			continue
		}
		seen[ref] = true
		_, later := lookup(ref, undone.Version())
		if later || state.Revision(ref) > undone.Version() {
			return nil, newConflict(ref, undone.Version(), nil, lookup)
		}
		before, existed := prior.Object(ref)
		_, exists := state.Object(ref)
		switch {
		case existed:
			ops = append(ops, bfconfig.Put{Object: before})
		case exists:
			ops = append(ops, bfconfig.Remove{Ref: ref})
		}
	}
	return ops, nil
}
