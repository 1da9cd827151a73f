package bftraffic

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// anySpec generates a configuration with a few hosts and prefixes.
func anySpec(t *rapid.T, version Version) Spec {
	s := Spec{Version: version, Services: []ServiceSpec{{Name: "portal"}, {Name: "vault"}}}
	for host := range 3 {
		for prefix := range 4 {
			if !rapid.Bool().Draw(t, "there") {
				continue
			}
			s.Routes = append(s.Routes, RouteSpec{
				Name: fmt.Sprintf("r%d-%d", host, prefix), Host: fmt.Sprintf("h%d", host), Prefix: fmt.Sprintf("/p%d/", prefix),
				Kind: Idempotent, Timeout: time.Second, MaxAttempts: 1, Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
				Destinations: []Destination{{Service: rapid.SampledFrom([]string{"portal", "vault"}).Draw(t, "service"), Weight: 1}},
			})
		}
	}
	return s
}

// observable returns a text with everything about a snapshot that affects requests.
func observable(s *Snapshot) string {
	text := fmt.Sprintln(s.Version(), s.digest())
	for host := range 3 {
		for prefix := range 4 {
			if r := s.Match(fmt.Sprintf("h%d", host), fmt.Sprintf("/p%d/x", prefix)); r != nil {
				text += fmt.Sprintln(host, prefix, r.Name(), r.Rank(), r.Urgent(), r.Destinations())
			}
		}
	}
	return text
}

// Snapshots share routes and hosts with the previous one. A snapshot derived by a
// delta or from a full configuration must be equivalent to one created without a previous one.
func TestDerivedSnapshotsMatchFreshOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(shrinkingT{t})
		held, err := NewSnapshot(anySpec(t, 1))
		is.NoErr(err)
		for version := Version(2); version < 8; version++ {
			spec := anySpec(t, version)
			fresh, err := NewSnapshot(spec)
			is.NoErr(err)
			byDelta, err := held.Apply(Diff(held, fresh))
			is.NoErr(err)
			bySpec, err := held.Next(spec)
			is.NoErr(err)
			is.Equal(observable(byDelta), observable(fresh))
			is.Equal(observable(bySpec), observable(fresh))
			held = byDelta
		}
	})
}

// shrinkingT adapts a rapid.T to the interface of is.New.
type shrinkingT struct{ *rapid.T }

// Fail aborts the test case, so that rapid can shrink it.
func (s shrinkingT) Fail() { s.FailNow() }
