package bfevent

import (
	"slices"
	"sort"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// MaxClockError is the maximum difference between the clocks of two nodes.
const MaxClockError = time.Second

// span is the time in which an event overrides a route's policy: start <= now < end.
type span struct {
	start, end time.Time
	event      string
	policy     bfconfig.PolicySpec
}

// routePolicies holds the policies of one route over time.
type routePolicies struct {
	base bfconfig.PolicySpec
	// spans are ordered by start and don't overlap: bfconfig refuses two events that
	// override the same route at the same time.
	spans []span
}

// warmUp is the time before an event in which connections to its services are opened.
type warmUp struct {
	from, until time.Time
	services    []string
}

// Schedule holds the policies of all routes over time for one configuration version. It is immutable.
type Schedule struct {
	version bfconfig.Version
	routes  map[string]routePolicies
	warmUps []warmUp
	// edges are the times, ordered, at which the result of InForce or WarmUps changes.
	edges []time.Time
}

// NewSchedule builds the schedule of state.
//
// It fails with a DanglingError if state refers to a missing object, which bfconfig rules out.
// The error keeps the older version in force if bfconfig has a fault.
func NewSchedule(state *bfconfig.State) (*Schedule, error) {
	s := &Schedule{version: state.Version(), routes: make(map[string]routePolicies, state.Len())}
	for object := range state.All(bfconfig.KindRoute) {
		route := object.(bfconfig.RouteSpec)
		policy, err := policyOf(state, route.Ref(), route.Policy)
		if err != nil {
			return nil, err
		}
		s.routes[route.Name] = routePolicies{base: policy}
	}
	for _, object := range state.Objects(bfconfig.KindEvent) {
		if err := s.addEvent(state, object.(bfconfig.EventSpec)); err != nil {
			return nil, err
		}
	}
	for _, route := range s.routes {
		slices.SortFunc(route.spans, func(a, b span) int { return a.start.Compare(b.start) })
	}
	slices.SortFunc(s.edges, time.Time.Compare)
	s.edges = slices.CompactFunc(s.edges, time.Time.Equal)
	return s, nil
}

func policyOf(state *bfconfig.State, from bfconfig.Ref, name string) (bfconfig.PolicySpec, error) {
	ref := bfconfig.Ref{Kind: bfconfig.KindPolicy, Name: name}
	policy, found := lookup[bfconfig.PolicySpec](state, ref)
	if !found {
		return bfconfig.PolicySpec{}, &bfconfig.DanglingError{From: from, Missing: ref}
	}
	return policy, nil
}

func lookup[T bfconfig.Object](state *bfconfig.State, ref bfconfig.Ref) (T, bool) {
	object, _ := state.Object(ref)
	typed, found := object.(T)
	return typed, found
}

func (s *Schedule) addEvent(state *bfconfig.State, event bfconfig.EventSpec) error {
	warm := warmUp{from: event.Start.Add(-event.WarmUp), until: event.Start}
	for _, override := range event.Overrides {
		ref := bfconfig.Ref{Kind: bfconfig.KindRoute, Name: override.Route}
		route, found := lookup[bfconfig.RouteSpec](state, ref)
		if !found {
			return &bfconfig.DanglingError{From: event.Ref(), Missing: ref}
		}
		policy, err := policyOf(state, event.Ref(), override.Policy)
		if err != nil {
			return err
		}
		policies := s.routes[route.Name]
		policies.spans = append(policies.spans, span{start: event.Start, end: event.End, event: event.Name, policy: policy})
		s.routes[route.Name] = policies
		warm.services = append(warm.services, route.Service)
	}
	s.warmUps = append(s.warmUps, warm)
	s.edges = append(s.edges, warm.from, event.Start, event.End)
	return nil
}

// Version is the version the schedule was built from.
func (s *Schedule) Version() bfconfig.Version { return s.version }

// InForce returns the policy of route at now, or false if there is no such route.
func (s *Schedule) InForce(route string, now time.Time) (Decision, bool) {
	policies, found := s.routes[route]
	if !found {
		return Decision{}, false
	}
	decision := Decision{policy: policies.base, version: s.version, at: now}
	begun := sort.Search(len(policies.spans), func(i int) bool { return policies.spans[i].start.After(now) })
	if begun == 0 {
		return decision, true
	}
	last := &policies.spans[begun-1]
	if !now.Before(last.end) {
		decision.edge = last.end
		return decision, true
	}
	decision.policy, decision.event, decision.edge = last.policy, last.event, last.start
	return decision, true
}

// NextEdge returns the first time after now at which the result of InForce or WarmUps may
// change, or false if there is none.
func (s *Schedule) NextEdge(now time.Time) (time.Time, bool) {
	next := sort.Search(len(s.edges), func(i int) bool { return s.edges[i].After(now) })
	if next == len(s.edges) {
		return time.Time{}, false
	}
	return s.edges[next], true
}

// WarmUps returns the sorted names of the services to which connections should be opened at now.
func (s *Schedule) WarmUps(now time.Time) []string {
	var services []string
	for _, warm := range s.warmUps {
		if !now.Before(warm.from) && now.Before(warm.until) {
			services = append(services, warm.services...)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}
