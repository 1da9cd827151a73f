package bfbackend

import (
	"context"
	"fmt"
	"time"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfgrammar"
	"bilberryflow.org/lib/bfroute"
)

// censusWait is how long the fleet has to answer a census.
const censusWait = 2 * time.Second

// Members lists the members that the node knows.
func (b *Backend) Members(context.Context) ([]bfquery.Member, error) {
	order := b.parts.Control.Order()
	list := make([]bfquery.Member, 0, order.Len())
	for rank := range order.Len() {
		row := order.At(rank).Row()
		list = append(list, bfquery.Member{
			Instance: row.ID, Service: row.Service, Region: row.Region, Domain: row.Domain,
			Address: row.Peer, State: row.State.String(), Incarnation: row.Incarnation,
		})
	}
	return list, nil
}

// Targets lists the targets that the node knows.
func (b *Backend) Targets(context.Context) ([]bfquery.Target, error) {
	order := b.parts.Control.Order()
	var list []bfquery.Target
	for rank := range order.Len() {
		if row := order.At(rank).Row(); row.Target != bfmember.TargetNone {
			list = append(list, b.target(row))
		}
	}
	return list, nil
}

// target is a row with the load that this node has last heard of.
func (b *Backend) target(row *bfmember.Row) bfquery.Target {
	target := bfquery.Target{
		Instance: row.ID, Service: row.Service, Domain: row.Domain, State: row.Target.String(), Slots: int(row.Slots),
	}
	if chooser := b.parts.Directory.Chooser(row.Service); chooser != nil {
		if seen, found := chooser.Set().Target(row.ID); found {
			target.InUse = seen.InFlight()
		}
	}
	return target
}

// Nodes lists the nodes with the version that each was last heard to hold.
func (b *Backend) Nodes(ctx context.Context) ([]bfquery.Node, error) {
	versions, ages, err := b.parts.Control.Heard(ctx)
	if err != nil {
		return nil, err
	}
	order, self := b.parts.Control.Order(), b.parts.Control.Self()
	list := make([]bfquery.Node, 0, order.Len())
	for rank := range order.Len() {
		member := order.At(rank)
		row, hash := member.Row(), member.Key().Hash
		node := bfquery.Node{
			Instance: row.ID, Region: row.Region, Domain: row.Domain,
			Version: versions[hash], Reachable: member.Alive(), Age: ages[hash],
		}
		if row.ID == self {
			node.Version = b.State().Version()
		}
		list = append(list, node)
	}
	return list, nil
}

// Census counts the versions in force in the scope.
func (b *Backend) Census(ctx context.Context, scope bfgrammar.Scope) (bfquery.Census, error) {
	tally, err := b.parts.Control.Census(ctx, censusWait)
	if err != nil {
		return bfquery.Census{}, err
	}
	census := bfquery.Census{UnreachableCount: tally.Unreachable(), Partial: tally.Unreachable() > 0}
	for _, domain := range tally.Domains {
		counted := bfquery.DomainCensus{Domain: domain.Domain, Held: map[bfconfig.Version]int{domain.Oldest: domain.Members}}
		if inScope(scope, counted) {
			census.Domains = append(census.Domains, counted)
		}
	}
	return census, nil
}

func inScope(scope bfgrammar.Scope, domain bfquery.DomainCensus) bool {
	switch s := scope.(type) {
	case bfgrammar.InDomain:
		return domain.Domain == s.Domain
	case bfgrammar.InRegion:
		return domain.Region == s.Region
	}
	return true
}

// Explain tells how a request would be treated.
func (b *Backend) Explain(_ context.Context, request bfquery.ExplainRequest) (bfquery.Explanation, error) {
	view := b.parts.Control.View()
	if view == nil {
		return bfquery.Explanation{}, &bfquery.NotHeldError{}
	}
	explanation := bfquery.Explanation{Version: view.Version()}
	path, err := bfroute.CleanPath(request.Path)
	if err != nil {
		explanation.Reasons = append(explanation.Reasons, err.Error())
		return explanation, nil
	}
	match, err := view.Match(request.Method, path)
	if err != nil {
		explanation.Reasons = append(explanation.Reasons, err.Error())
		return explanation, nil
	}
	decision, _ := view.Events().InForce(match.Route().Name, request.At)
	explanation.Route, explanation.Service = match.Route().Name, match.Service().Name
	explanation.Policy, explanation.Event = decision.Policy().Name, decision.Event()
	explanation.Reasons = reasons(match, request, explanation)
	explanation.Candidates = b.candidates(match.Service().Name)
	return explanation, nil
}

func reasons(match bfroute.Match, request bfquery.ExplainRequest, e bfquery.Explanation) []string {
	list := []string{fmt.Sprintf("route %s has the longest prefix, %s, for %s", e.Route, match.Route().Prefix, request.Path)}
	if e.Event != "" {
		return append(list, fmt.Sprintf("event %s is in force at %s and puts the route under policy %s", e.Event, request.At.Format(time.RFC3339), e.Policy))
	}
	return append(list, fmt.Sprintf("no event is in force for the route at %s", request.At.Format(time.RFC3339)))
}

func (b *Backend) candidates(service string) []bfquery.Candidate {
	order := b.parts.Control.Order()
	var list []bfquery.Candidate
	for _, member := range b.parts.Directory.Targets(service) {
		rank, found := order.Rank(member.ID)
		if !found {
			continue
		}
		candidate := bfquery.Candidate{Target: b.target(order.At(rank).Row())}
		candidate.Eligible = member.State == bfchoice.Ready || member.State == bfchoice.Cold
		candidate.Why = "announces itself and takes work"
		if !candidate.Eligible {
			candidate.Why = "is " + candidate.Target.State
		}
		list = append(list, candidate)
	}
	return list
}
