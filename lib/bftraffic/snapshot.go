package bftraffic

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Snapshot is one configuration, ready to be asked; it never changes once made.
//
// The snapshots of two versions share the routes that are the same in both, so
// that a version costs what it changes and not what it holds.
type Snapshot struct {
	version  Version
	services []ServiceSpec
	limits   Limits
	// routes are in the order of their places.
	routes []*Route
	// sum is that of the routes' hashes.
	sum uint64
	// hosts has each host's routes by prefix.
	hosts map[string]map[string]*Route
	// lowest is the lowest rank, the largest number, of each service's routes.
	lowest map[string]int
}

// Place is where a route takes requests; a configuration has one route a place.
type Place struct {
	// Host is in lower case.
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
}

func (p Place) compare(q Place) int {
	return cmp.Or(cmp.Compare(p.Host, q.Host), cmp.Compare(p.Prefix, q.Prefix))
}

func inOrder(routes []*Route) []*Route {
	slices.SortStableFunc(routes, func(a, b *Route) int { return a.place.compare(b.place) })
	return routes
}

// NewSnapshot checks spec and makes it ready; a wrong one is refused whole.
func NewSnapshot(spec Spec) (*Snapshot, error) { return (&Snapshot{}).Next(spec) }

// Next is NewSnapshot for a configuration that follows s; what is the same in both is shared.
func (s *Snapshot) Next(spec Spec) (*Snapshot, error) {
	routes := make([]*Route, 0, len(spec.Routes))
	for _, r := range spec.Routes {
		route := newRoute(r)
		if held := s.hosts[route.place.Host][route.place.Prefix]; held != nil && held.hash == route.hash {
			route = held
		}
		routes = append(routes, route)
	}
	return s.next(spec, inOrder(routes))
}

// next makes the snapshot that follows s, of the routes and what spec says beside them.
func (s *Snapshot) next(spec Spec, routes []*Route) (*Snapshot, error) {
	n := &Snapshot{version: spec.Version, services: spec.Services, limits: spec.Limits, routes: routes}
	if err := n.check(s); err != nil {
		return nil, err
	}
	n.lowest = lowestRanks(routes)
	same := maps.Equal(n.lowest, s.lowest)
	for at, route := range routes {
		n.sum += route.hash
		if !same || !s.holds(route) {
			routes[at] = route.ranked(n.lowest)
		}
	}
	n.hosts = s.hostsOf(routes)
	return n, nil
}

// holds reports whether the very route is one of s.
func (s *Snapshot) holds(r *Route) bool { return s.hosts[r.place.Host][r.place.Prefix] == r }

// hostsOf arranges routes by host; hosts whose routes are all those of s are shared with it.
func (s *Snapshot) hostsOf(routes []*Route) map[string]map[string]*Route {
	hosts := make(map[string]map[string]*Route, len(s.hosts))
	for len(routes) > 0 {
		host := routes[0].place.Host
		end := slices.IndexFunc(routes, func(r *Route) bool { return r.place.Host != host })
		if end < 0 {
			end = len(routes)
		}
		hosts[host] = s.hostOf(host, routes[:end])
		routes = routes[end:]
	}
	return hosts
}

func (s *Snapshot) hostOf(host string, routes []*Route) map[string]*Route {
	held := s.hosts[host]
	if len(held) == len(routes) && !slices.ContainsFunc(routes, func(r *Route) bool { return held[r.place.Prefix] != r }) {
		return held
	}
	byPrefix := make(map[string]*Route, len(routes))
	for _, route := range routes {
		byPrefix[route.place.Prefix] = route
	}
	return byPrefix
}

func lowestRanks(routes []*Route) map[string]int {
	lowest := map[string]int{}
	for _, route := range routes {
		for _, d := range route.spec.Destinations {
			if held, found := lowest[d.Service]; !found || route.spec.Rank > held {
				lowest[d.Service] = route.spec.Rank
			}
		}
	}
	return lowest
}

// Version is the configuration's version.
func (s *Snapshot) Version() Version { return s.version }

// Routes is how many routes there are.
func (s *Snapshot) Routes() int { return len(s.routes) }

// Spec is the configuration as a message; its services are not to be changed.
func (s *Snapshot) Spec() Spec {
	spec := Spec{Version: s.version, Services: s.services, Limits: s.limits, Routes: make([]RouteSpec, 0, len(s.routes))}
	for _, route := range s.routes {
		spec.Routes = append(spec.Routes, route.spec)
	}
	return spec
}

// Limits bound what callers may send.
func (s *Snapshot) Limits() Limits { return s.limits }

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
	place Place
	hash  uint64
	total int
	// urgent says that routes of a lower rank share a service with this one.
	urgent bool
	// turn counts the requests that were dealt to the destinations.
	turn atomic.Uint32
}

// newRoute makes a route of which it is not known yet whether it is urgent.
func newRoute(spec RouteSpec) *Route {
	r := &Route{spec: spec, place: Place{strings.ToLower(spec.Host), spec.Prefix}, hash: spec.hash()}
	for _, d := range spec.Destinations {
		r.total += d.Weight
	}
	// Nodes that all began at the same place would deal their first requests to
	// the same destination.
	r.turn.Store(rand.Uint32())
	return r
}

// ranked is the route among others of which the lowest ranks are known. It is
// another one if that makes a difference: those who hold r do so without a lock.
func (r *Route) ranked(lowest map[string]int) *Route {
	urgent := false
	for _, d := range r.spec.Destinations {
		urgent = urgent || r.spec.Rank < lowest[d.Service]
	}
	if urgent == r.urgent {
		return r
	}
	other := &Route{spec: r.spec, place: r.place, hash: r.hash, total: r.total, urgent: urgent}
	other.turn.Store(r.turn.Load())
	return other
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

// Services are the route's services with their weights; they are not to be changed.
func (r *Route) Services() []Destination { return r.spec.Destinations }

// GoesTo reports whether the route sends requests to a service.
func (r *Route) GoesTo(service string) bool {
	return slices.ContainsFunc(r.spec.Destinations, func(d Destination) bool { return d.Service == service })
}

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
