package bftraffic

import (
	"fmt"
)

// Delta is the difference between two configurations.
type Delta struct {
	// Base is the version to which the delta applies.
	Base    Version `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"`
	// Set holds the new and changed routes, sorted by key.
	Set []RouteSpec `cbor:"3,keyasint,omitempty"`
	// Dropped holds the keys of the removed routes, sorted.
	Dropped  []RouteKey    `cbor:"4,keyasint,omitempty"`
	Services []ServiceSpec `cbor:"5,keyasint,omitempty"`
	Limits   Limits        `cbor:"6,keyasint"`
	// Digest is the digest of the resulting configuration.
	Digest uint64 `cbor:"7,keyasint"`
	// KeysRequired is that of the resulting configuration. SetWorkspaces holds the new and changed
	// workspaces, DroppedWorkspaces the names of the removed ones, both sorted by name.
	KeysRequired      bool            `cbor:"8,keyasint,omitempty"`
	SetWorkspaces     []WorkspaceSpec `cbor:"9,keyasint,omitempty"`
	DroppedWorkspaces []string        `cbor:"10,keyasint,omitempty"`
}

// DeltaError reports a delta that does not apply to the current configuration.
type DeltaError struct {
	Held   Version
	Base   Version
	Reason string
}

// Error names both versions and the reason.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from version %d on version %d: %s", e.Base, e.Held, e.Reason)
}

// Diff returns the delta from one snapshot to another.
func Diff(from, to *Snapshot) Delta {
	d := Delta{Base: from.version, Version: to.version, Services: to.services, Limits: to.limits, Digest: to.digest(), KeysRequired: to.keysRequired}
	d.SetWorkspaces, d.DroppedWorkspaces = diffWorkspaces(from.workspaces, to.workspaces)
	remaining := from.routes
	for _, route := range to.routes {
		for len(remaining) > 0 && remaining[0].key.compare(route.key) < 0 {
			d.Dropped = append(d.Dropped, remaining[0].key)
			remaining = remaining[1:]
		}
		if len(remaining) > 0 && remaining[0].key == route.key {
			if remaining[0].hash != route.hash {
				d.Set = append(d.Set, route.spec)
			}
			remaining = remaining[1:]
			continue
		}
		d.Set = append(d.Set, route.spec)
	}
	for _, route := range remaining {
		d.Dropped = append(d.Dropped, route.key)
	}
	return d
}

// Apply returns the snapshot that d produces; it does not modify s.
//
// It fails with a DeltaError if d does not apply, and with a SpecError if the
// result is invalid. A delta with a base older than s is accepted if the result has
// the expected digest: members read versions at different times, and such a delta
// usually includes the changes made between its base and s.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	if d.Version <= s.version || d.Base > s.version {
		return nil, &DeltaError{Held: s.version, Base: d.Base, Reason: "does not apply to this version"}
	}
	next, err := s.next(Spec{
		Version: d.Version, Services: d.Services, Limits: d.Limits, KeysRequired: d.KeysRequired,
		Workspaces: s.workspaces.merge(d.SetWorkspaces, d.DroppedWorkspaces),
	}, s.merge(d))
	if err != nil {
		return nil, err
	}
	if next.digest() != d.Digest {
		return nil, &DeltaError{Held: s.version, Base: d.Base, Reason: "digest mismatch"}
	}
	return next, nil
}

// merge returns the routes of s with the changes of d, sorted by key.
func (s *Snapshot) merge(d Delta) []*Route {
	changed := make(map[RouteKey]bool, len(d.Set)+len(d.Dropped))
	for _, key := range d.Dropped {
		changed[key] = true
	}
	set := make([]*Route, 0, len(d.Set))
	for _, spec := range d.Set {
		route := newRoute(spec)
		changed[route.key] = true
		set = append(set, route)
	}
	merged := make([]*Route, 0, len(s.routes)+len(set))
	for _, route := range s.routes {
		if !changed[route.key] {
			merged = append(merged, route)
		}
	}
	return sortByKey(append(merged, set...))
}
