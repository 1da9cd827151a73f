package bfbackend

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfquery/bfcensus"
	"bilberryflow.org/lib/bfquery/bfsyntax"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
)

// censusWait is how long the fleet, or one node, has to answer.
const censusWait = 2 * time.Second

// Census counts the versions in force in the scope.
func (b *Backend) Census(ctx context.Context, scope bfsyntax.Scope) (bfcensus.Census, error) {
	if at, isNode := scope.(bfsyntax.AtNode); isNode {
		return b.censusOfNode(ctx, at.Instance)
	}
	parts := partsOf(b.parts.Control.Order(), scope)
	if len(parts) == 0 {
		return bfcensus.Census{}, &bfquery.NoMembersError{Scope: scope}
	}
	tally, err := b.parts.Control.Census(ctx, censusWait)
	if err != nil {
		return bfcensus.Census{}, err
	}
	// Before it has a version in force a node may not have met the fleet.
	census := bfcensus.Census{Domains: parts.count(tally), Partial: !b.started()}
	if scope == (bfsyntax.Everywhere{}) {
		census.Versions = versionsOf(tally)
	}
	return census, nil
}

func versionsOf(tally bfcount.Tally) map[bfconfig.Version]int {
	versions := map[bfconfig.Version]int{}
	for _, count := range tally.Versions {
		versions[count.Version] += count.Members
	}
	return versions
}

// parts are the failure domains of a scope, each with the regions that have it.
type parts map[string][]string

// partsOf finds the domains of the members in the scope.
func partsOf(order *bfroster.Order, scope bfsyntax.Scope) parts {
	p := parts{}
	for rank := range order.Len() {
		row := order.At(rank).Row()
		if inScope(scope, row) && !slices.Contains(p[row.Domain], row.Region) {
			p[row.Domain] = append(p[row.Domain], row.Region)
		}
	}
	return p
}

func inScope(scope bfsyntax.Scope, row *bfroster.Row) bool {
	switch s := scope.(type) {
	case bfsyntax.InDomain:
		return row.Domain == s.Domain
	case bfsyntax.InRegion:
		return row.Region == s.Region
	}
	return true
}

// count sums the tally up for the domains. The tally knows domains by name
// alone: one that two regions have is counted over both.
func (p parts) count(tally bfcount.Tally) []bfcensus.Domain {
	counted := map[string]*bfcensus.Domain{}
	for name, regions := range p {
		counted[name] = &bfcensus.Domain{Region: strings.Join(regions, ", "), Domain: name}
	}
	for _, d := range tally.Domains {
		if domain, asked := counted[d.Domain]; asked {
			domain.Nodes, domain.Oldest = d.Members, d.Oldest
		}
	}
	for _, lack := range tally.Lacks {
		if domain, asked := counted[lack.Domain]; asked {
			domain.Unreachable += lack.Members
		}
	}
	var list []bfcensus.Domain
	for _, domain := range counted {
		list = append(list, *domain)
	}
	return list
}

// inForceMethod asks a node what it has in force.
const inForceMethod = "operator.inforce"

type inForceRequest struct{}

type inForceReply struct {
	// Version is 0 while nothing is in force, for instance at a start that waits.
	Version bfconfig.Version `json:"version"`
}

// InForceMethods are the calls by which a node tells its version to other nodes' operators.
func InForceMethods(view func() *bfroute.View) bfpeer.Methods {
	return bfpeer.Methods{inForceMethod: {
		Purpose: bfpeer.Operators,
		Handle:  func(context.Context, json.RawMessage) (any, error) { return replyOf(view()), nil },
	}}
}

func replyOf(view *bfroute.View) *inForceReply {
	if view == nil {
		return &inForceReply{}
	}
	return &inForceReply{Version: view.Version()}
}

// censusOfNode asks one node itself: what this node heard of it is what it
// holds, which comes into force a moment later.
func (b *Backend) censusOfNode(ctx context.Context, instance string) (bfcensus.Census, error) {
	order := b.parts.Control.Order()
	rank, found := order.Rank(instance)
	if !found {
		return bfcensus.Census{}, &bfquery.NoInstanceError{Instance: instance}
	}
	row := order.At(rank).Row()
	domain := bfcensus.Domain{Region: row.Region, Domain: row.Domain, Nodes: 1}
	reply, err := b.askInForce(ctx, row)
	if err != nil {
		domain.Nodes, domain.Unreachable = 0, 1
		return bfcensus.Census{Domains: []bfcensus.Domain{domain}, Unreachable: []string{instance}}, ctx.Err()
	}
	domain.Oldest = reply.Version
	versions := map[bfconfig.Version]int{reply.Version: 1}
	return bfcensus.Census{Domains: []bfcensus.Domain{domain}, Versions: versions}, nil
}

func (b *Backend) askInForce(ctx context.Context, row *bfroster.Row) (*inForceReply, error) {
	if row.ID == b.parts.Control.Self() {
		return replyOf(b.parts.Control.View()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, censusWait)
	defer cancel()
	reply := &inForceReply{}
	return reply, b.parts.Calls.Call(ctx, row.Peer, inForceMethod, &inForceRequest{}, reply)
}
