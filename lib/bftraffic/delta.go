package bftraffic

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberryflow.org/lib/bfcodec"
)

// Delta is what makes one configuration of the one before.
type Delta struct {
	Base     Version       `cbor:"1,keyasint"`
	Version  Version       `cbor:"2,keyasint"`
	Set      []RouteSpec   `cbor:"3,keyasint,omitempty"`
	Dropped  []string      `cbor:"4,keyasint,omitempty"`
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

// sorted puts the routes and services into one order, so that equal
// configurations have equal digests.
func (s Spec) sorted() Spec {
	s.Routes, s.Services = slices.Clone(s.Routes), slices.Clone(s.Services)
	slices.SortFunc(s.Routes, func(a, b RouteSpec) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Services, func(a, b ServiceSpec) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (s Spec) digest() (uint64, error) {
	data, err := bfcodec.Marshal(s.sorted())
	return xxhash.Sum64(data), err
}

// DeltaOf is what makes to of from.
func DeltaOf(from, to Spec) (Delta, error) {
	d := Delta{Base: from.Version, Version: to.Version, Services: to.Services, Limits: to.Limits}
	before := make(map[string]RouteSpec, len(from.Routes))
	for _, r := range from.Routes {
		before[r.Name] = r
	}
	for _, r := range to.Routes {
		if held, found := before[r.Name]; !found || !reflect.DeepEqual(held, r) {
			d.Set = append(d.Set, r)
		}
		delete(before, r.Name)
	}
	for name := range before {
		d.Dropped = append(d.Dropped, name)
	}
	slices.Sort(d.Dropped)
	var err error
	d.Digest, err = to.digest()
	return d, err
}

// Apply makes the configuration that d leads to, or refuses d whole.
func (s Spec) Apply(d Delta) (Spec, error) {
	if d.Base != s.Version {
		return Spec{}, &DeltaError{Held: s.Version, Base: d.Base, Reason: "another base"}
	}
	next := Spec{Version: d.Version, Services: d.Services, Limits: d.Limits}
	changed := make(map[string]bool, len(d.Set)+len(d.Dropped))
	for _, r := range d.Set {
		changed[r.Name] = true
	}
	for _, name := range d.Dropped {
		changed[name] = true
	}
	for _, r := range s.Routes {
		if !changed[r.Name] {
			next.Routes = append(next.Routes, r)
		}
	}
	next.Routes = append(next.Routes, d.Set...)
	digest, err := next.digest()
	if err != nil {
		return Spec{}, err
	}
	if digest != d.Digest {
		return Spec{}, &DeltaError{Held: s.Version, Base: d.Base, Reason: "another digest came out"}
	}
	return next, nil
}
