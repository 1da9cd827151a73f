package bfinspect

import (
	"context"
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfidentity"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bfquota"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// RejectedVersion is a configuration version that the node rejected.
type RejectedVersion struct {
	// Version is 0 if the version number could not be read.
	Version bftraffic.Version
	Reason  string
}

// explanation describes the rejected version to an operator.
func (r *RejectedVersion) explanation() string {
	name := "the newest version"
	if r.Version > 0 {
		name = fmt.Sprintf("version %d", r.Version)
	}
	return name + " is not in force, it was refused whole: " + r.Reason
}

// Config holds the dependencies of a Backend.
type Config struct {
	// Self is the inbound address by which the node is listed as a member.
	Self    string
	Region  string
	Traffic *bftraffic.Holder
	Fleet   *bffleet.Fleet
	// QueryVersion queries the node at a peer address for the version in force on it.
	QueryVersion func(ctx context.Context, peer string) (bftraffic.Version, error)
	// Rejected returns the newest version if the node rejected it, else nil.
	Rejected func() *RejectedVersion
	// Quarantine holds the requests during which targets crashed.
	Quarantine *bfquarantine.Book
	// Demand describes what targets of a service are chosen for by requests of a route.
	Demand func(route *bftraffic.Route, service string) bffleet.Demand
	// Freshness is that of the configuration, nil if keys are always honoured.
	Freshness bfidentity.Freshness
	// Quota returns what the node holds of the quota of a workspace, nil where quotas are not enforced.
	Quota func(workspace string) bfquota.Status
	Timer *bftimer.Service
}

// Backend is a read-only implementation of bfquery.Backend.
type Backend struct{ config Config }

var _ bfquery.Backend = (*Backend)(nil)

// New returns the backend of a node.
func New(config Config) *Backend { return &Backend{config} }

// ManagedByPlatformError reports a command that this node does not support, since the
// platform manages the configuration.
type ManagedByPlatformError struct{}

// Error lists the supported commands.
func (e *ManagedByPlatformError) Error() string {
	return "this deployment's configuration is kept by the platform: change and read it there; " +
		"here are in force, watch, explain METHOD //HOST/PATH, show members, show targets, show nodes, show quarantine and show workspaces"
}

// InvalidCommand marks the error as permanent: a retry can't succeed.
func (e *ManagedByPlatformError) InvalidCommand() {}

// CheckCommand returns an error if the node can't execute the command, else nil.
func (b *Backend) CheckCommand(command bfsyntax.Command) error {
	switch c := command.(type) {
	case bfsyntax.Show:
		switch c.Table {
		case bfsyntax.TableMembers, bfsyntax.TableTargets, bfsyntax.TableNodes, bfsyntax.TableQuarantine, bfsyntax.TableWorkspaces:
			return nil
		}
		return &ManagedByPlatformError{}
	case bfsyntax.InForce, bfsyntax.Watch, bfsyntax.Help:
		return nil
	case bfsyntax.Explain:
		if b.config.Traffic.Current() == nil {
			return &bfquery.NotStartedError{}
		}
		return nil
	}
	return &ManagedByPlatformError{}
}

// Now returns the time of the node's clock.
func (b *Backend) Now() time.Time { return b.config.Timer.Now() }

// Wait blocks for d, or returns the context's error if it ends earlier.
func (b *Backend) Wait(ctx context.Context, d time.Duration) error {
	return b.config.Timer.Wait(ctx, d)
}

// State returns an empty state, since the platform's configuration has other kinds of objects.
func (b *Backend) State() *bfconfig.State { return bfconfig.Empty() }

// Members lists the members in the node's view.
func (b *Backend) Members(context.Context) ([]bfquery.Member, error) {
	var list []bfquery.Member
	for _, s := range b.config.Fleet.Statuses(b.Now()) {
		list = append(list, bfquery.Member{
			Instance: s.Member.Name(), Service: s.Member.Service, Region: b.config.Region, Domain: s.Member.Domain,
			Address: s.Member.Inbound, State: s.State(), Incarnation: s.Member.Revision.Number(),
		})
	}
	return list, nil
}

// Targets lists the targets in the node's view.
func (b *Backend) Targets(context.Context) ([]bfquery.Target, error) {
	var list []bfquery.Target
	for _, s := range b.config.Fleet.Statuses(b.Now()) {
		list = append(list, targetOf(s))
	}
	return list, nil
}

func targetOf(s bffleet.TargetStatus) bfquery.Target {
	return bfquery.Target{
		Instance: s.Member.Name(), Service: s.Member.Service, Domain: s.Member.Domain, State: s.State(),
		Slots: s.Member.Slots, InUse: s.InFlight,
	}
}

// Explain reports how a request would be routed. The request's path has the form
// //HOST/PATH; otherwise the error is a *URLError.
func (b *Backend) Explain(_ context.Context, request bfquery.ExplainRequest) (bfquery.Explanation, error) {
	traffic := b.config.Traffic.Current()
	e := bfquery.Explanation{Version: bfconfig.Version(traffic.Version())}
	host, path, err := splitURL(request.Path)
	if err != nil {
		return e, err
	}
	if rejected := b.config.Rejected(); rejected != nil {
		e.Reasons = append(e.Reasons, rejected.explanation())
	}
	route := traffic.Match(host, path)
	if route == nil {
		e.Reasons = append(e.Reasons, fmt.Sprintf("no route of host %s has a prefix that begins %s", host, path))
		return e, nil
	}
	e.Route, e.Service, e.Policy = route.Name(), route.Destinations()[0].Service, route.Kind().String()
	e.Reasons = append(append(e.Reasons, routeReasons(route)...), keyReasons(traffic, route)...)
	if request.Tenant != "" {
		e.Reasons = append(e.Reasons, b.workspaceReasons(traffic, route, request.Tenant)...)
	}
	for _, d := range route.Destinations() {
		e.Candidates = append(e.Candidates, b.candidates(route, d.Service)...)
	}
	return e, nil
}

// routeReasons describes how the route handles a request.
func routeReasons(route *bftraffic.Route) []string {
	retryRule := "runs at most once"
	if route.Kind().Repeatable() {
		retryRule = "may be sent again"
	}
	list := []string{fmt.Sprintf("it is %s and %s, to %d targets at most, within %v; objective %v, rank %d",
		route.Kind(), retryRule, route.MaxAttempts(), route.Timeout(), route.Objective(), route.Rank())}
	if services := route.Destinations(); len(services) > 1 {
		for _, d := range services {
			list = append(list, fmt.Sprintf("service %s gets requests by weight %d", d.Service, d.Weight))
		}
	}
	return list
}

// keyReasons describes whether requests of the route need an API key.
func keyReasons(traffic *bftraffic.Snapshot, route *bftraffic.Route) []string {
	switch {
	case !traffic.KeysRequired():
		return nil
	case route.Public():
		return []string{"it is public: requests need no API key"}
	}
	return []string{"requests need an API key of a workspace"}
}
