package bftraffic

import (
	"fmt"
	"testing"
	"time"
)

// largeSpec is a configuration of a number of routes, a hundred of them on each host.
func largeSpec(version Version, routes int) Spec {
	spec := Spec{Version: version, Services: []ServiceSpec{{Name: "portal", MaxConns: 100}, {Name: "vault", MaxConns: 100}}}
	for i := range routes {
		spec.Routes = append(spec.Routes, RouteSpec{
			Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("host-%d.example", i/100), Prefix: fmt.Sprintf("/prefix-%d/", i),
			Kind: Idempotent, Timeout: time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2, Rank: 2,
			Destinations: []Destination{{Service: "portal", Weight: 1}},
		})
	}
	return spec
}

// BenchmarkChangeOfOneRoute is what a node does for a version that changes one of
// 1,600 routes. On a sixth of a core, every millisecond of it holds all requests of
// the node up for six.
func BenchmarkChangeOfOneRoute(b *testing.B) {
	from, to := oneChanged(b)
	delta := DeltaOf(from, to)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := from.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDeltaOfOneRoute is what a member does that tells others of the version.
func BenchmarkDeltaOfOneRoute(b *testing.B) {
	from, to := oneChanged(b)
	b.ReportAllocs()
	for b.Loop() {
		DeltaOf(from, to)
	}
}

// BenchmarkVersionReadWhole is what a member does that reads the version itself.
func BenchmarkVersionReadWhole(b *testing.B) {
	from, to := oneChanged(b)
	spec := to.Spec()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := from.Next(spec); err != nil {
			b.Fatal(err)
		}
	}
}

// oneChanged gives two versions of 1,600 routes that differ in one.
func oneChanged(b *testing.B) (from, to *Snapshot) {
	b.Helper()
	const routes = 1600
	from, err := NewSnapshot(largeSpec(7, routes))
	if err != nil {
		b.Fatal(err)
	}
	spec := largeSpec(9, routes)
	spec.Routes[routes/2].Timeout = 2 * time.Second
	if to, err = NewSnapshot(spec); err != nil {
		b.Fatal(err)
	}
	return from, to
}
