package bfconfig

import (
	"fmt"
	"testing"
	"time"
)

// largeState returns a state of 5,000 objects, most of them routes.
func largeState(b *testing.B) *State {
	b.Helper()
	var ops []Op
	for i := range 810 {
		ops = append(ops, Put{ServiceSpec{Name: fmt.Sprint("service-", i), Slots: 12}})
	}
	for i := range 90 {
		ops = append(ops, Put{PolicySpec{Name: fmt.Sprint("policy-", i), Class: "query", Deadline: time.Second}})
	}
	for i := range 4_100 {
		ops = append(ops, Put{RouteSpec{
			Name: fmt.Sprint("route-", i), Prefix: fmt.Sprint("/portal/", i),
			Service: fmt.Sprint("service-", i%810), Policy: fmt.Sprint("policy-", i%90),
		}})
	}
	state, _, err := Empty().Propose(NewChange("large", "bench", time.UnixMilli(1), ops))
	if err != nil {
		b.Fatal(err)
	}
	return state
}

func BenchmarkApply5000(b *testing.B) {
	state := largeState(b)
	_, delta, err := state.Propose(NewChange("one", "bench", time.UnixMilli(2), []Op{
		Put{RouteSpec{Name: "route-7", Prefix: "/portal/seven", Service: "service-1", Policy: "policy-1"}},
	}))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := state.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRestore5000(b *testing.B) {
	state := largeState(b)
	data, err := state.EncodeSnapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
	for b.Loop() {
		if _, err := Restore(data, state.Version()); err != nil {
			b.Fatal(err)
		}
	}
}
