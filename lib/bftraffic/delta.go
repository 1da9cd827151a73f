package bftraffic

import (
	"fmt"
)

// Delta is what makes one configuration of another one.
type Delta struct {
	// Base is the version that the delta was made for.
	Base    Version `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"`
	// Set holds the routes that are new or changed, in the order of their places.
	Set []RouteSpec `cbor:"3,keyasint,omitempty"`
	// Dropped holds the places of the routes that go, in order.
	Dropped  []Place       `cbor:"4,keyasint,omitempty"`
	Services []ServiceSpec `cbor:"5,keyasint,omitempty"`
	Limits   Limits        `cbor:"6,keyasint"`
	// Digest is that of the configuration that must come out.
	Digest uint64 `cbor:"7,keyasint"`
}

// DeltaError reports a delta that does not lead from the configuration held to the one it names.
type DeltaError struct {
	Held   Version
	Base   Version
	Reason string
}

// Error names both versions and the reason.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from version %d on version %d: %s", e.Base, e.Held, e.Reason)
}

// DeltaOf is what makes to of from.
func DeltaOf(from, to *Snapshot) Delta {
	d := Delta{Base: from.version, Version: to.version, Services: to.services, Limits: to.limits, Digest: to.digest()}
	before := from.routes
	for _, route := range to.routes {
		for len(before) > 0 && before[0].place.compare(route.place) < 0 {
			d.Dropped = append(d.Dropped, before[0].place)
			before = before[1:]
		}
		if len(before) > 0 && before[0].place == route.place {
			if before[0].hash != route.hash {
				d.Set = append(d.Set, route.spec)
			}
			before = before[1:]
			continue
		}
		d.Set = append(d.Set, route.spec)
	}
	for _, route := range before {
		d.Dropped = append(d.Dropped, route.place)
	}
	return d
}

// Apply makes the configuration that d leads to, or refuses d whole.
//
// A delta that was made for an older version than the one held is tried too: two
// members that tell of versions read them at different moments, and mostly what
// changed between is part of the delta. The digest says whether it was.
func (s *Snapshot) Apply(d Delta) (*Snapshot, error) {
	if d.Version <= s.version || d.Base > s.version {
		return nil, &DeltaError{Held: s.version, Base: d.Base, Reason: "another base"}
	}
	next, err := s.next(Spec{Version: d.Version, Services: d.Services, Limits: d.Limits}, s.merge(d))
	if err != nil {
		return nil, err
	}
	if next.digest() != d.Digest {
		return nil, &DeltaError{Held: s.version, Base: d.Base, Reason: "another digest came out"}
	}
	return next, nil
}

// merge gives the routes of s as d changes them, in the order of their places.
func (s *Snapshot) merge(d Delta) []*Route {
	changed := make(map[Place]bool, len(d.Set)+len(d.Dropped))
	for _, place := range d.Dropped {
		changed[place] = true
	}
	set := make([]*Route, 0, len(d.Set))
	for _, spec := range d.Set {
		route := newRoute(spec)
		changed[route.place] = true
		set = append(set, route)
	}
	merged := make([]*Route, 0, len(s.routes)+len(set))
	for _, route := range s.routes {
		if !changed[route.place] {
			merged = append(merged, route)
		}
	}
	return inOrder(append(merged, set...))
}
