package bfroute

import (
	"fmt"
	"slices"
	"strings"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfevent"
)

// entry is a route with the service and the policy that it references.
type entry struct {
	route   bfconfig.RouteSpec
	service bfconfig.ServiceSpec
	policy  bfconfig.PolicySpec
}

// node is one path segment in the prefix tree.
type node struct {
	children map[string]*node
	// anyMethod is the route of this prefix that lists no methods, or nil.
	anyMethod *entry
	byMethod  map[string]*entry
}

func (n *node) hasRoutes() bool { return n.anyMethod != nil || len(n.byMethod) > 0 }

// View is the immutable routing table of one configuration version.
type View struct {
	version bfconfig.Version
	root    *node
	events  *bfevent.Schedule
}

// NewView builds the routing table of state. It returns a *bfconfig.DanglingError
// for an unresolved reference, which a state validated by bfconfig does not have.
func NewView(state *bfconfig.State) (*View, error) {
	events, err := bfevent.NewSchedule(state)
	if err != nil {
		return nil, err
	}
	v := &View{version: state.Version(), root: &node{}, events: events}
	for object := range state.All(bfconfig.KindRoute) {
		routeEntry, err := resolve(state, object.(bfconfig.RouteSpec))
		if err != nil {
			return nil, err
		}
		v.add(routeEntry)
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
		at.anyMethod = e
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

// Version returns the configuration version that the view was built from.
func (v *View) Version() bfconfig.Version { return v.version }

// Events returns the event schedule of the same version.
func (v *View) Events() *bfevent.Schedule { return v.events }

// Match is the route that View.Match selected for a request.
type Match struct{ entry *entry }

// Route returns the matching route.
func (m Match) Route() bfconfig.RouteSpec { return m.entry.route }

// Service returns the service of the route.
func (m Match) Service() bfconfig.ServiceSpec { return m.entry.service }

// BasePolicy returns the route's configured policy, which applies while no event overrides it.
func (m Match) BasePolicy() bfconfig.PolicySpec { return m.entry.policy }

// NoRouteError reports a path that no route's prefix covers.
type NoRouteError struct{ Path string }

// Error includes the path.
func (e *NoRouteError) Error() string { return fmt.Sprintf("no route for path %q", e.Path) }

// MethodError reports a path whose longest matching prefix has routes for other methods only.
type MethodError struct {
	Method string
	Prefix string
	// Allowed lists the methods of that prefix in sorted order.
	Allowed []string
}

// Error includes the method, the prefix and the allowed methods.
func (e *MethodError) Error() string {
	return fmt.Sprintf("method %s not allowed at %s, allowed: %s", e.Method, e.Prefix, strings.Join(e.Allowed, ", "))
}

// Match returns the route of a request, for a path returned by CleanPath. Its
// errors are *NoRouteError and *MethodError.
//
// Only the longest matching prefix is considered. A method that it does not
// allow does not fall back to a shorter prefix: with a GET-only route at
// /assets/logos, a DELETE there would otherwise run under the policy of /assets.
func (v *View) Match(method, path string) (Match, error) {
	best, end := v.longestPrefix(path)
	if best == nil {
		return Match{}, &NoRouteError{Path: path}
	}
	if found := best.byMethod[method]; found != nil {
		return Match{found}, nil
	}
	if best.anyMethod != nil {
		return Match{best.anyMethod}, nil
	}
	return Match{}, &MethodError{Method: method, Prefix: path[:end], Allowed: best.allowedMethods()}
}

// longestPrefix returns the deepest node with routes along path, and the length of its prefix in path.
func (v *View) longestPrefix(path string) (*node, int) {
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
		if at = at.children[stripParameters(path[start:stop])]; at == nil {
			break
		}
		if at.hasRoutes() {
			best, end = at, stop
		}
		start = stop + 1
	}
	return best, end
}

// stripParameters truncates a segment at its first semicolon, escaped or not.
// Some servers strip path parameters before routing, so /approvals;a=1 would run
// as /approvals at the target but match a shorter prefix's policy here.
func stripParameters(segment string) string {
	const escapedSemicolon = "%3B"
	if i := strings.IndexByte(segment, ';'); i >= 0 {
		segment = segment[:i]
	}
	if i := strings.Index(segment, escapedSemicolon); i >= 0 {
		segment = segment[:i]
	}
	return segment
}

func (n *node) allowedMethods() []string {
	methods := make([]string, 0, len(n.byMethod))
	for method := range n.byMethod {
		methods = append(methods, method)
	}
	slices.Sort(methods)
	return methods
}
