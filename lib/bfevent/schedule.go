package bfevent

import (
	"slices"
	"sort"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// MaxClockError is the most by which the clocks of two nodes may differ.
const MaxClockError = time.Second

// span is one event's hold on one route: start <= now < end.
type span struct {
	start, end time.Time
	event      string
	policy     bfconfig.PolicySpec
}

// standing is what the configuration says of one route at every moment.
type standing struct {
	base bfconfig.PolicySpec
	// spans are ordered by start and do not overlap: bfconfig refuses two
	// events that hold one route at the same time.
	spans []span
}

// warmUp is the time before an event in which its services are warmed.
type warmUp struct {
	from, until time.Time
	services    []string
}

// Schedule is what one version says of every route at every moment; it never changes once made.
type Schedule struct {
	version bfconfig.Version
	routes  map[string]standing
	warmUps []warmUp
	// edges are all times at which an answer of the schedule changes, ordered.
	edges []time.Time
}

// NewSchedule builds the schedule of state.
//
// An error means that state is not closed, which bfconfig rules out; it is
// returned so that a fault there keeps the older version in force.
func NewSchedule(state *bfconfig.State) (*Schedule, error) {
	s := &Schedule{version: state.Version(), routes: make(map[string]standing, state.Len())}
	for object := range state.All(bfconfig.KindRoute) {
		route := object.(bfconfig.RouteSpec)
		policy, err := policyOf(state, route.Ref(), route.Policy)
		if err != nil {
			return nil, err
		}
		s.routes[route.Name] = standing{base: policy}
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
	policy, found := lookUp[bfconfig.PolicySpec](state, ref)
	if !found {
		return bfconfig.PolicySpec{}, &bfconfig.DanglingError{From: from, Missing: ref}
	}
	return policy, nil
}

func lookUp[T bfconfig.Object](state *bfconfig.State, ref bfconfig.Ref) (T, bool) {
	object, _ := state.Object(ref)
	typed, found := object.(T)
	return typed, found
}

func (s *Schedule) addEvent(state *bfconfig.State, event bfconfig.EventSpec) error {
	warm := warmUp{from: event.Start.Add(-event.WarmUp), until: event.Start}
	for _, override := range event.Overrides {
		ref := bfconfig.Ref{Kind: bfconfig.KindRoute, Name: override.Route}
		route, found := lookUp[bfconfig.RouteSpec](state, ref)
		if !found {
			return &bfconfig.DanglingError{From: event.Ref(), Missing: ref}
		}
		policy, err := policyOf(state, event.Ref(), override.Policy)
		if err != nil {
			return err
		}
		held := s.routes[route.Name]
		held.spans = append(held.spans, span{start: event.Start, end: event.End, event: event.Name, policy: policy})
		s.routes[route.Name] = held
		warm.services = append(warm.services, route.Service)
	}
	s.warmUps = append(s.warmUps, warm)
	s.edges = append(s.edges, warm.from, event.Start, event.End)
	return nil
}

// Version is the version the schedule was built from.
func (s *Schedule) Version() bfconfig.Version { return s.version }

// InForce is the policy that route is under at now; false means that there is no such route.
func (s *Schedule) InForce(route string, now time.Time) (Decision, bool) {
	held, found := s.routes[route]
	if !found {
		return Decision{}, false
	}
	decision := Decision{policy: held.base, version: s.version, at: now}
	begun := sort.Search(len(held.spans), func(i int) bool { return held.spans[i].start.After(now) })
	if begun == 0 {
		return decision, true
	}
	last := &held.spans[begun-1]
	if !now.Before(last.end) {
		decision.edge = last.end
		return decision, true
	}
	decision.policy, decision.event, decision.edge = last.policy, last.event, last.start
	return decision, true
}

// NextEdge is the first time after now at which InForce or WarmUps answers differently; false means never.
func (s *Schedule) NextEdge(now time.Time) (time.Time, bool) {
	next := sort.Search(len(s.edges), func(i int) bool { return s.edges[i].After(now) })
	if next == len(s.edges) {
		return time.Time{}, false
	}
	return s.edges[next], true
}

// WarmUps lists, by name, the services to which connections should be opened at now.
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
