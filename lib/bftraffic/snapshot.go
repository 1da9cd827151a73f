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

// Snapshot is one immutable version of the configuration, indexed for lookups.
//
// Successive snapshots share unchanged routes, so that the cost of a new version
// depends on the size of the change.
type Snapshot struct {
	version  Version
	services []ServiceSpec
	limits   Limits
	// routes is sorted by key.
	routes []*Route
	// routeHashSum is the sum of the route hashes.
	routeHashSum uint64
	// hosts holds the routes by host and prefix.
	hosts map[string]map[string]*Route
	// lowestRank holds the lowest rank, which is the largest number, among each service's routes.
	lowestRank map[string]int
	// keysRequired is set if requests of routes that are not public need an API key.
	keysRequired bool
	workspaces   *workspaces
}

// RouteKey identifies a route by host and path prefix; it is unique within a configuration.
type RouteKey struct {
	// Host is in lower case.
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
}

func (p RouteKey) compare(q RouteKey) int {
	return cmp.Or(cmp.Compare(p.Host, q.Host), cmp.Compare(p.Prefix, q.Prefix))
}

func sortByKey(routes []*Route) []*Route {
	slices.SortStableFunc(routes, func(a, b *Route) int { return a.key.compare(b.key) })
	return routes
}

// NewSnapshot returns the snapshot of spec; an invalid spec gives a SpecError.
func NewSnapshot(spec Spec) (*Snapshot, error) { return (&Snapshot{}).Next(spec) }

// Next is like NewSnapshot, but shares unchanged routes with s, the previous snapshot.
func (s *Snapshot) Next(spec Spec) (*Snapshot, error) {
	routes := make([]*Route, 0, len(spec.Routes))
	for _, r := range spec.Routes {
		route := newRoute(r)
		if held := s.hosts[route.key.Host][route.key.Prefix]; held != nil && held.hash == route.hash {
			route = held
		}
		routes = append(routes, route)
	}
	return s.next(spec, sortByKey(routes))
}

// next returns a snapshot with the given routes and the other settings of spec, sharing with s.
func (s *Snapshot) next(spec Spec, routes []*Route) (*Snapshot, error) {
	n := &Snapshot{version: spec.Version, services: spec.Services, limits: spec.Limits, routes: routes, keysRequired: spec.KeysRequired}
	n.workspaces = s.heldWorkspaces().next(spec.Workspaces)
	if err := n.check(s); err != nil {
		return nil, err
	}
	if err := n.checkWorkspaces(s, spec.Workspaces); err != nil {
		return nil, err
	}
	n.lowestRank = lowestRanks(routes)
	sameRanks := maps.Equal(n.lowestRank, s.lowestRank)
	for at, route := range routes {
		n.routeHashSum += route.hash
		if !sameRanks || !s.contains(route) {
			routes[at] = route.withUrgency(n.lowestRank)
		}
	}
	n.hosts = s.groupByHost(routes)
	return n, nil
}

// heldWorkspaces returns the index of the workspaces, empty if s is the zero value.
func (s *Snapshot) heldWorkspaces() *workspaces {
	if s.workspaces == nil {
		return &workspaces{}
	}
	return s.workspaces
}

// contains reports whether s shares this route, by identity.
func (s *Snapshot) contains(r *Route) bool { return s.hosts[r.key.Host][r.key.Prefix] == r }

// groupByHost indexes sorted routes by host; the index of an unchanged host is shared with s.
func (s *Snapshot) groupByHost(routes []*Route) map[string]map[string]*Route {
	hosts := make(map[string]map[string]*Route, len(s.hosts))
	for len(routes) > 0 {
		host := routes[0].key.Host
		end := slices.IndexFunc(routes, func(r *Route) bool { return r.key.Host != host })
		if end < 0 {
			end = len(routes)
		}
		hosts[host] = s.routesByPrefix(host, routes[:end])
		routes = routes[end:]
	}
	return hosts
}

func (s *Snapshot) routesByPrefix(host string, routes []*Route) map[string]*Route {
	held := s.hosts[host]
	if len(held) == len(routes) && !slices.ContainsFunc(routes, func(r *Route) bool { return held[r.key.Prefix] != r }) {
		return held
	}
	byPrefix := make(map[string]*Route, len(routes))
	for _, route := range routes {
		byPrefix[route.key.Prefix] = route
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

// Version returns the version of the configuration.
func (s *Snapshot) Version() Version { return s.version }

// RouteCount returns the number of routes.
func (s *Snapshot) RouteCount() int { return len(s.routes) }

// Spec returns the configuration in its encoded form; callers must not modify its services.
func (s *Snapshot) Spec() Spec {
	spec := Spec{Version: s.version, Services: s.services, Limits: s.limits, Routes: make([]RouteSpec, 0, len(s.routes)), KeysRequired: s.keysRequired, Workspaces: s.workspaces.specs()}
	for _, route := range s.routes {
		spec.Routes = append(spec.Routes, route.spec)
	}
	return spec
}

// HealthPath returns the path at which targets of a service answer whether they accept requests, "" if
// it is not known.
func (s *Snapshot) HealthPath(service string) string {
	for _, known := range s.services {
		if known.Name == service {
			return known.HealthPath
		}
	}
	return ""
}

// Limits returns the limits on requests and connections.
func (s *Snapshot) Limits() Limits { return s.limits }

// Match returns the route of host with the longest prefix of path, nil if there is none.
//
// path is the raw path of the request line. It is not cleaned, since the target
// receives the raw path and could resolve another one than was matched.
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

// hostname returns the Host header without its port, in lower case.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Route is a route of a snapshot.
type Route struct {
	spec        RouteSpec
	key         RouteKey
	hash        uint64
	totalWeight int
	// urgent is whether a route of a lower rank shares a service with this one.
	urgent bool
	// position is the offset in the sequence by which requests are distributed to the destinations.
	position atomic.Uint32
}

// newRoute returns a route that is not marked urgent; see withUrgency.
func newRoute(spec RouteSpec) *Route {
	r := &Route{spec: spec, key: RouteKey{strings.ToLower(spec.Host), spec.Prefix}, hash: spec.hash()}
	for _, d := range spec.Destinations {
		r.totalWeight += d.Weight
	}
	// A random start keeps nodes from sending their first requests to the same destination.
	r.position.Store(rand.Uint32())
	return r
}

// withUrgency returns r, or a copy if its urgency changes: r may be in use by
// concurrent readers, which do not lock.
func (r *Route) withUrgency(lowest map[string]int) *Route {
	urgent := false
	for _, d := range r.spec.Destinations {
		urgent = urgent || r.spec.Rank < lowest[d.Service]
	}
	if urgent == r.urgent {
		return r
	}
	other := &Route{spec: r.spec, key: r.key, hash: r.hash, totalWeight: r.totalWeight, urgent: urgent}
	other.position.Store(r.position.Load())
	return other
}

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns how the route's requests may be treated.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the maximum duration of a request, including retries.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the response time within which an answer has its full value.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// MaxAttempts returns the maximum number of targets to which one request is sent.
func (r *Route) MaxAttempts() int { return r.spec.MaxAttempts }

// Rank returns the priority of the route at a saturated target; 0 is the highest.
func (r *Route) Rank() int { return r.spec.Rank }

// Public reports whether the route's requests need no API key.
func (r *Route) Public() bool { return r.spec.Public }

// Urgent reports whether another route of one of its services has a lower rank.
func (r *Route) Urgent() bool { return r.urgent }

// Destinations returns the route's services and weights; callers must not modify them.
func (r *Route) Destinations() []Destination { return r.spec.Destinations }

// HasService reports whether the service is one of the route's destinations.
func (r *Route) HasService(service string) bool {
	return slices.ContainsFunc(r.spec.Destinations, func(d Destination) bool { return d.Service == service })
}

// goldenStep is 2^32 divided by the golden ratio. Its multiples are spread evenly
// (a low-discrepancy sequence), so shares are exact to about one request.
const goldenStep = 2654435769

// PickService returns the service for the next request, distributing requests by weight.
func (r *Route) PickService() string {
	if len(r.spec.Destinations) == 1 {
		return r.spec.Destinations[0].Service
	}
	point := uint64(r.position.Add(goldenStep)) * uint64(r.totalWeight) >> 32
	for _, d := range r.spec.Destinations {
		if point < uint64(d.Weight) {
			return d.Service
		}
		point -= uint64(d.Weight)
	}
	return r.spec.Destinations[len(r.spec.Destinations)-1].Service
}
