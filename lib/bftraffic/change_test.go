package bftraffic

import (
	"fmt"
	"testing"
	"time"
)

// largeSpec returns a configuration with the given number of routes, 100 on each host.
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

// BenchmarkApplyOneRoute measures applying a delta that changes one of 1,600 routes.
// Nodes run on a fraction of a core, so this work delays all their requests.
func BenchmarkApplyOneRoute(b *testing.B) {
	from, to := snapshotsDifferingInOneRoute(b)
	delta := Diff(from, to)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := from.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDiffOneRoute measures creating that delta, on the member that sends it.
func BenchmarkDiffOneRoute(b *testing.B) {
	from, to := snapshotsDifferingInOneRoute(b)
	b.ReportAllocs()
	for b.Loop() {
		Diff(from, to)
	}
}

// BenchmarkNextOneRoute measures creating that version from its full configuration.
func BenchmarkNextOneRoute(b *testing.B) {
	from, to := snapshotsDifferingInOneRoute(b)
	spec := to.Spec()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := from.Next(spec); err != nil {
			b.Fatal(err)
		}
	}
}

// snapshotsDifferingInOneRoute returns two versions of 1,600 routes that differ in one.
func snapshotsDifferingInOneRoute(b *testing.B) (from, to *Snapshot) {
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
