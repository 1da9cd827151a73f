package bfroute

import (
	"fmt"
	"slices"
	"strings"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfevent"
)

// entry is one route with what it refers to.
type entry struct {
	route   bfconfig.RouteSpec
	service bfconfig.ServiceSpec
	policy  bfconfig.PolicySpec
}

// node is one path segment in the tree of prefixes.
type node struct {
	children map[string]*node
	// everyMethod is the route of this prefix without methods, if there is one.
	everyMethod *entry
	byMethod    map[string]*entry
}

func (n *node) hasRoutes() bool { return n.everyMethod != nil || len(n.byMethod) > 0 }

// View is the routes of one version; it never changes once made.
type View struct {
	version bfconfig.Version
	root    *node
	events  *bfevent.Schedule
}

// NewView builds the view of state; an error means that state is not closed, which bfconfig rules out.
func NewView(state *bfconfig.State) (*View, error) {
	events, err := bfevent.NewSchedule(state)
	if err != nil {
		return nil, err
	}
	v := &View{version: state.Version(), root: &node{}, events: events}
	for object := range state.All(bfconfig.KindRoute) {
		resolved, err := resolve(state, object.(bfconfig.RouteSpec))
		if err != nil {
			return nil, err
		}
		v.add(resolved)
	}
	return v, nil
}

func resolve(state *bfconfig.State, route bfconfig.RouteSpec) (*entry, error) {
	serviceRef := bfconfig.Ref{Kind: bfconfig.KindService, Name: route.Service}
	policyRef := bfconfig.Ref{Kind: bfconfig.KindPolicy, Name: route.Policy}
	object, _ := state.Object(serviceRef)
	service, found := object.(bfconfig.ServiceSpec)
	if !found {
		return nil, &bfconfig.DanglingError{From: route.Ref(), Missing: serviceRef}
	}
	object, _ = state.Object(policyRef)
	policy, found := object.(bfconfig.PolicySpec)
	if !found {
		return nil, &bfconfig.DanglingError{From: route.Ref(), Missing: policyRef}
	}
	return &entry{route: route, service: service, policy: policy}, nil
}

func (v *View) add(e *entry) {
	at := v.root
	for segment := range strings.SplitSeq(strings.Trim(e.route.Prefix, "/"), "/") {
		if segment != "" {
			at = at.child(segment)
		}
	}
	if len(e.route.Methods) == 0 {
		at.everyMethod = e
		return
	}
	if at.byMethod == nil {
		at.byMethod = map[string]*entry{}
	}
	for _, method := range e.route.Methods {
		at.byMethod[method] = e
	}
}

func (n *node) child(segment string) *node {
	if n.children == nil {
		n.children = map[string]*node{}
	}
	child, found := n.children[segment]
	if !found {
		child = &node{}
		n.children[segment] = child
	}
	return child
}

// Version is the version the view was built from.
func (v *View) Version() bfconfig.Version { return v.version }

// Events is the schedule of the same version.
func (v *View) Events() *bfevent.Schedule { return v.events }

// Match is the route found for a request.
type Match struct{ entry *entry }

// Route is the route that matched.
func (m Match) Route() bfconfig.RouteSpec { return m.entry.route }

// Service is the service of the route.
func (m Match) Service() bfconfig.ServiceSpec { return m.entry.service }

// Base is the route's own policy, in force while no event overrides it.
func (m Match) Base() bfconfig.PolicySpec { return m.entry.policy }

// NoRouteError reports a path under no route's prefix.
type NoRouteError struct{ Path string }

// Error names the path.
func (e *NoRouteError) Error() string { return fmt.Sprintf("no route for path %q", e.Path) }

// MethodError reports a path whose longest prefix has routes for other methods only.
type MethodError struct {
	Method string
	Prefix string
	// Allowed are the methods of that prefix, ordered.
	Allowed []string
}

// Error names the method and those allowed.
func (e *MethodError) Error() string {
	return fmt.Sprintf("method %s not allowed at %s, allowed: %s", e.Method, e.Prefix, strings.Join(e.Allowed, ", "))
}

// Match finds the route of a request by a path that CleanPath returned.
//
// The longest prefix decides alone. A method that it does not allow is not
// looked up under a shorter one: an operator who gives /assets/logos a route
// for GET would else find DELETE there run under the policy of /assets.
func (v *View) Match(method, path string) (Match, error) {
	best, end := v.longest(path)
	if best == nil {
		return Match{}, &NoRouteError{Path: path}
	}
	if found := best.byMethod[method]; found != nil {
		return Match{found}, nil
	}
	if best.everyMethod != nil {
		return Match{best.everyMethod}, nil
	}
	return Match{}, &MethodError{Method: method, Prefix: path[:end], Allowed: best.allowed()}
}

// longest finds the deepest node with routes along path, and where its prefix ends in path.
func (v *View) longest(path string) (*node, int) {
	if !strings.HasPrefix(path, "/") {
		return nil, 0
	}
	at, start := v.root, 1
	var best *node
	end := 0
	if at.hasRoutes() {
		best, end = at, 1
	}
	for start < len(path) {
		stop := len(path)
		if slash := strings.IndexByte(path[start:], '/'); slash >= 0 {
			stop = start + slash
		}
		if at = at.children[withoutParameters(path[start:stop])]; at == nil {
			break
		}
		if at.hasRoutes() {
			best, end = at, stop
		}
		start = stop + 1
	}
	return best, end
}

// withoutParameters cuts a segment at its first semicolon, escaped or not. Some
// servers drop what follows before they look up the path, so /approvals;a=1
// would run as /approvals at the target but under a shorter prefix's policy here.
func withoutParameters(segment string) string {
	const escapedSemicolon = "%3B"
	if i := strings.IndexByte(segment, ';'); i >= 0 {
		segment = segment[:i]
	}
	if i := strings.Index(segment, escapedSemicolon); i >= 0 {
		segment = segment[:i]
	}
	return segment
}

func (n *node) allowed() []string {
	methods := make([]string, 0, len(n.byMethod))
	for method := range n.byMethod {
		methods = append(methods, method)
	}
	slices.Sort(methods)
	return methods
}
