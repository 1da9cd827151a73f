package bftraffic

import (
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"
)

// Snapshot is one configuration, ready to be asked; it never changes once made.
type Snapshot struct {
	spec Spec
	// hosts has each host's routes by prefix.
	hosts map[string]map[string]*Route
}

// NewSnapshot checks spec and makes it ready; a wrong one is refused whole.
func NewSnapshot(spec Spec) (*Snapshot, error) {
	if err := spec.check(); err != nil {
		return nil, err
	}
	s := &Snapshot{spec: spec, hosts: map[string]map[string]*Route{}}
	lowest := lowestRanks(spec.Routes)
	for _, route := range spec.Routes {
		host := strings.ToLower(route.Host)
		if s.hosts[host] == nil {
			s.hosts[host] = map[string]*Route{}
		}
		s.hosts[host][route.Prefix] = newRoute(route, lowest)
	}
	return s, nil
}

// lowestRanks is the lowest rank, the largest number, of each service's routes.
func lowestRanks(routes []RouteSpec) map[string]int {
	lowest := map[string]int{}
	for _, route := range routes {
		for _, d := range route.Destinations {
			lowest[d.Service] = max(lowest[d.Service], route.Rank)
		}
	}
	return lowest
}

// Version is the configuration's version.
func (s *Snapshot) Version() Version { return s.spec.Version }

// Spec is the configuration as a message; it is not to be changed.
func (s *Snapshot) Spec() Spec { return s.spec }

// Limits bound what callers may send.
func (s *Snapshot) Limits() Limits { return s.spec.Limits }

// Match finds the route of the longest prefix that begins path, nil where there is none.
//
// Path is as it stands in the request line: a node that cleaned it would look
// up another path than the target gets.
func (s *Snapshot) Match(host, path string) *Route {
	routes := s.hosts[hostname(host)]
	if routes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := routes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// hostname is a Host header without its port, in lower case.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Route is one route of a snapshot.
type Route struct {
	spec  RouteSpec
	total int
	// urgent says that routes of a lower rank share a service with this one.
	urgent bool
	// turn counts the requests that were dealt to the destinations.
	turn atomic.Uint32
}

func newRoute(spec RouteSpec, lowest map[string]int) *Route {
	r := &Route{spec: spec}
	for _, d := range spec.Destinations {
		r.total += d.Weight
		r.urgent = r.urgent || spec.Rank < lowest[d.Service]
	}
	// Nodes that all began at the same place would deal their first requests to
	// the same destination.
	r.turn.Store(rand.Uint32())
	return r
}

// Name is the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Kind says how the route's requests may be treated.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout is the longest time that a caller is kept waiting.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective is the time within which an answer has its full value.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// MaxAttempts is the largest number of targets that one request is sent to.
func (r *Route) MaxAttempts() int { return r.spec.MaxAttempts }

// Rank orders routes at a full target; 0 goes first.
func (r *Route) Rank() int { return r.spec.Rank }

// Urgent reports whether another route of one of its services has a lower rank.
func (r *Route) Urgent() bool { return r.urgent }

// goldenStep is 2^32 divided by the golden ratio. Its multiples spread over the
// range more evenly than random numbers, so that shares are exact to about one
// request in any run of requests.
const goldenStep = 2654435769

// Destination deals one request to a service by the route's weights.
func (r *Route) Destination() string {
	if len(r.spec.Destinations) == 1 {
		return r.spec.Destinations[0].Service
	}
	point := uint64(r.turn.Add(goldenStep)) * uint64(r.total) >> 32
	for _, d := range r.spec.Destinations {
		if point < uint64(d.Weight) {
			return d.Service
		}
		point -= uint64(d.Weight)
	}
	return r.spec.Destinations[len(r.spec.Destinations)-1].Service
}
