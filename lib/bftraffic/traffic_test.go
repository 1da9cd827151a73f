package bftraffic

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func route(name, host, prefix string, destinations ...Destination) RouteSpec {
	if len(destinations) == 0 {
		destinations = []Destination{{Service: "portal", Weight: 1}}
	}
	return RouteSpec{
		Name: name, Host: host, Prefix: prefix, Kind: Idempotent, Timeout: time.Second,
		Objective: 300 * time.Millisecond, MaxAttempts: 2, Destinations: destinations,
	}
}

func spec(version Version, routes ...RouteSpec) Spec {
	return Spec{Version: version, Routes: routes, Services: []ServiceSpec{{Name: "portal"}, {Name: "vault"}}}
}

func mustSnapshot(t *testing.T, s Spec) *Snapshot {
	t.Helper()
	snapshot, err := NewSnapshot(s)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	s := mustSnapshot(t, spec(1, route("all", "a.example", "/"), route("logo", "a.example", "/logo/"),
		route("deep", "a.example", "/logo/sheets/"), route("other", "B.example", "/logo/")))
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/logo", "all"}, // no trailing slash, so not under /logo/
		{"a.example", "/logo/", "logo"},
		{"A.Example:8080", "/logo/x", "logo"},
		{"a.example", "/logo/sheets/1/2", "deep"},
		{"a.example", "/logo/sheetsx/1", "logo"},
		{"a.example", "/logo/%2e%2e/x", "logo"}, // not decoded or cleaned
		{"b.example", "/logo/x", "other"},
		{"b.example", "/x/", ""},
		{"c.example", "/logo/x", ""},
		{"a.example", "*", ""},
	} {
		got := ""
		if found := s.Match(c.host, c.path); found != nil {
			got = found.Name()
		}
		is.Equal(got, c.want) // host and path
	}
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	is := is.New(t)
	corruptions := map[string]func(*Spec){
		"version":                func(s *Spec) { s.Version = 0 },
		"route r host":           func(s *Spec) { s.Routes[0].Host = "" },
		"route r prefix":         func(s *Spec) { s.Routes[0].Prefix = "/cut" },
		"route r kind":           func(s *Spec) { s.Routes[0].Kind = 0 },
		"route r timeout":        func(s *Spec) { s.Routes[0].Timeout = 0 },
		"route r attempts":       func(s *Spec) { s.Routes[0].MaxAttempts = 0 },
		"route r services":       func(s *Spec) { s.Routes[0].Destinations = nil },
		"route r service":        func(s *Spec) { s.Routes[0].Destinations[0].Service = "gone" },
		"route r weight":         func(s *Spec) { s.Routes[0].Destinations[0].Weight = 0 },
		"route same prefix":      func(s *Spec) { s.Routes = append(s.Routes, route("same", "A.example", "/r/")) },
		"route r weight below 0": func(s *Spec) { s.Routes[0].Destinations[0].Weight = -1 },
	}
	for field, corrupt := range corruptions {
		s := spec(3, route("r", "a.example", "/r/"))
		corrupt(&s)
		_, err := NewSnapshot(s)
		var wrong *SpecError
		is.True(errors.As(err, &wrong)) // rejected, naming the field
		is.True(wrong.Field == field || wrong.Field+" below 0" == field)
	}
}

// Each node must split requests by weight almost exactly, even over a few hundred requests.
func TestWeightedSharesAreExact(t *testing.T) {
	is := is.New(t)
	s := mustSnapshot(t, spec(1, route("r", "a.example", "/", Destination{"portal", 90}, Destination{"vault", 10})))
	count := 0
	const requests = 300
	for range requests {
		if s.Match("a.example", "/x").PickService() == "vault" {
			count++
		}
	}
	is.True(count >= 28 && count <= 32)
}

// The shares of nodes that each route few requests must add up to the weights.
// Nodes that start at the same position would all pick the same service first.
func TestWeightedSharesAddUpAcrossNodes(t *testing.T) {
	is := is.New(t)
	const nodes, requests = 12, 25
	for _, weight := range []int{10, 30, 50} {
		count := 0
		for range nodes {
			s := mustSnapshot(t, spec(1, route("r", "a.example", "/", Destination{"portal", 100 - weight}, Destination{"vault", weight})))
			for range requests {
				if s.Match("a.example", "/x").PickService() == "vault" {
					count++
				}
			}
		}
		// Each node deviates by at most one request.
		expected := nodes * requests * weight / 100
		is.True(count >= expected-nodes && count <= expected+nodes)
	}
}

// A version that arrives after a newer one must not be put in force.
func TestHolderNeverAdoptsOlderVersion(t *testing.T) {
	is := is.New(t)
	var seen []Version
	h := NewHolder(func(s *Snapshot) { seen = append(seen, s.Version()) })
	is.Equal(h.Version(), Version(0))
	is.True(h.Adopt(mustSnapshot(t, spec(42, route("r", "a.example", "/")))))
	is.True(!h.Adopt(mustSnapshot(t, spec(41, route("r", "a.example", "/")))))
	is.True(!h.Adopt(mustSnapshot(t, spec(42, route("r", "a.example", "/")))))
	is.True(h.Adopt(mustSnapshot(t, spec(47, route("r", "a.example", "/")))))
	is.Equal(seen, []Version{42, 47})
	is.Equal(h.Recent(47).Version(), Version(47))
	is.Equal(h.Recent(42).Version(), Version(42))
	is.True(h.Recent(41) == nil)
	for v := range Version(maxPrevious) {
		is.True(h.Adopt(mustSnapshot(t, spec(50+v, route("r", "a.example", "/")))))
	}
	is.True(h.Recent(42) == nil) // no longer kept
	is.True(h.Recent(47) != nil)
}
