package bfinspect

import (
	"context"
	"fmt"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// Refusal is a version that the node did not take.
type Refusal struct {
	// Version is 0 where the version could not be read.
	Version bftraffic.Version
	Reason  string
}

// text tells the refusal to an operator.
func (r *Refusal) text() string {
	name := "the newest version"
	if r.Version > 0 {
		name = fmt.Sprintf("version %d", r.Version)
	}
	return name + " is not in force, it was refused whole: " + r.Reason
}

// Parts is what a Backend works with.
type Parts struct {
	// Self is the node's own name among the members.
	Self    string
	Region  string
	Traffic *bftraffic.Holder
	Fleet   *bffleet.Fleet
	// Ask asks the node at a peer address for the version in force there.
	Ask func(ctx context.Context, peer string) (bftraffic.Version, error)
	// Refused is the newest version if the node refused it, else nil.
	Refused func() *Refusal
	// Quarantine holds the requests under which targets ended.
	Quarantine *bfquarantine.Book
	Timer      *bftimer.Service
}

// Backend implements bfquery.Backend without anything that changes something.
type Backend struct{ parts Parts }

var _ bfquery.Backend = (*Backend)(nil)

// New makes the backend of a node.
func New(parts Parts) *Backend { return &Backend{parts} }

// KeptElsewhereError reports a command for a configuration that the platform keeps.
type KeptElsewhereError struct{}

// Error says where to go.
func (e *KeptElsewhereError) Error() string {
	return "this deployment's configuration is kept by the platform: change and read it there; " +
		"here are in force, watch, explain METHOD //HOST/PATH, show members, show targets, show nodes and show quarantine"
}

// WrongCommand marks the command as wrong here: sent again it is refused again.
func (e *KeptElsewhereError) WrongCommand() {}

// Refuses reports why the node does not carry out the command, nil where it does.
func (b *Backend) Refuses(command bfsyntax.Command) error {
	switch c := command.(type) {
	case bfsyntax.Show:
		switch c.Table {
		case bfsyntax.TableMembers, bfsyntax.TableTargets, bfsyntax.TableNodes, bfsyntax.TableQuarantine:
			return nil
		}
		return &KeptElsewhereError{}
	case bfsyntax.InForce, bfsyntax.Watch, bfsyntax.Help:
		return nil
	case bfsyntax.Explain:
		if b.parts.Traffic.Current() == nil {
			return &bfquery.NotStartedError{}
		}
		return nil
	}
	return &KeptElsewhereError{}
}

// Now is the time by the node's clock.
func (b *Backend) Now() time.Time { return b.parts.Timer.Now() }

// Wait returns after d, or earlier with the context's error.
func (b *Backend) Wait(ctx context.Context, d time.Duration) error {
	return b.parts.Timer.Wait(ctx, d)
}

// State is empty: the platform's configuration has other objects.
func (b *Backend) State() *bfconfig.State { return bfconfig.Empty() }

// Members lists the members that the node knows.
func (b *Backend) Members(context.Context) ([]bfquery.Member, error) {
	var list []bfquery.Member
	for _, s := range b.parts.Fleet.Statuses(b.Now()) {
		list = append(list, bfquery.Member{
			Instance: s.Member.Name(), Service: s.Member.Service, Region: b.parts.Region, Domain: s.Member.Domain,
			Address: s.Member.Inbound, State: s.State(), Incarnation: s.Member.Revision,
		})
	}
	return list, nil
}

// Targets lists the targets that the node knows.
func (b *Backend) Targets(context.Context) ([]bfquery.Target, error) {
	var list []bfquery.Target
	for _, s := range b.parts.Fleet.Statuses(b.Now()) {
		list = append(list, target(s))
	}
	return list, nil
}

func target(s bffleet.TargetStatus) bfquery.Target {
	return bfquery.Target{
		Instance: s.Member.Name(), Service: s.Member.Service, Domain: s.Member.Domain, State: s.State(),
		Slots: s.Member.Slots, InUse: s.InFlight,
	}
}

// Explain tells how a request would be treated; its path begins with the host.
func (b *Backend) Explain(_ context.Context, request bfquery.ExplainRequest) (bfquery.Explanation, error) {
	traffic := b.parts.Traffic.Current()
	e := bfquery.Explanation{Version: bfconfig.Version(traffic.Version())}
	host, path, err := splitURL(request.Path)
	if err != nil {
		return e, err
	}
	if refused := b.parts.Refused(); refused != nil {
		e.Reasons = append(e.Reasons, refused.text())
	}
	route := traffic.Match(host, path)
	if route == nil {
		e.Reasons = append(e.Reasons, fmt.Sprintf("no route of host %s has a prefix that begins %s", host, path))
		return e, nil
	}
	e.Route, e.Service, e.Policy = route.Name(), route.Destinations()[0].Service, route.Kind().String()
	e.Reasons = append(e.Reasons, reasons(route)...)
	for _, s := range b.parts.Fleet.Statuses(b.Now()) {
		if route.HasService(s.Member.Service) {
			e.Candidates = append(e.Candidates, bfquery.Candidate{Target: target(s), Eligible: s.IsEligible(), Why: s.Reason()})
		}
	}
	return e, nil
}

// reasons tells what the route means for a request.
func reasons(route *bftraffic.Route) []string {
	repeat := "runs at most once"
	if route.Kind().Repeatable() {
		repeat = "may be sent again"
	}
	list := []string{fmt.Sprintf("it is %s and %s, to %d targets at most, within %v; objective %v, rank %d",
		route.Kind(), repeat, route.MaxAttempts(), route.Timeout(), route.Objective(), route.Rank())}
	if services := route.Destinations(); len(services) > 1 {
		for _, d := range services {
			list = append(list, fmt.Sprintf("service %s gets requests by weight %d", d.Service, d.Weight))
		}
	}
	return list
}
