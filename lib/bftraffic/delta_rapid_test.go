package bftraffic

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// anySpec draws a configuration of a few hosts and prefixes.
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

// seen is everything that a request can see of a snapshot.
func seen(s *Snapshot) string {
	text := fmt.Sprintln(s.Version(), s.digest())
	for host := range 3 {
		for prefix := range 4 {
			if r := s.Match(fmt.Sprintf("h%d", host), fmt.Sprintf("/p%d/x", prefix)); r != nil {
				text += fmt.Sprintln(host, prefix, r.Name(), r.Rank(), r.Urgent(), r.Services())
			}
		}
	}
	return text
}

// Snapshots share routes, hosts and sums with the ones before. Whatever versions
// follow each other, by deltas or whole, each must look like one made from nothing.
func TestSharedSnapshotsMatchThoseMadeFromNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(silent{t})
		held, err := NewSnapshot(anySpec(t, 1))
		is.NoErr(err)
		for version := Version(2); version < 8; version++ {
			spec := anySpec(t, version)
			fresh, err := NewSnapshot(spec)
			is.NoErr(err)
			byDelta, err := held.Apply(DeltaOf(held, fresh))
			is.NoErr(err)
			whole, err := held.Next(spec)
			is.NoErr(err)
			is.Equal(seen(byDelta), seen(fresh))
			is.Equal(seen(whole), seen(fresh))
			held = byDelta
		}
	})
}

// silent is a rapid.T as is.New takes it.
type silent struct{ *rapid.T }

// Fail ends the example, so that rapid can make it smaller.
func (s silent) Fail() { s.FailNow() }
