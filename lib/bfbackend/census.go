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

// censusWait bounds how long the fleet, or one node, may take to respond.
const censusWait = 2 * time.Second

// Census counts the versions in force in the scope.
func (b *Backend) Census(ctx context.Context, scope bfsyntax.Scope) (bfcensus.Census, error) {
	if at, isNode := scope.(bfsyntax.AtNode); isNode {
		return b.censusOfNode(ctx, at.Instance)
	}
	domains := domainsInScope(b.config.Control.Order(), scope)
	if len(domains) == 0 {
		return bfcensus.Census{}, &bfquery.NoMembersError{Scope: scope}
	}
	tally, err := b.config.Control.Census(ctx, censusWait)
	if err != nil {
		return bfcensus.Census{}, err
	}
	// A node without a version in force may not have discovered the fleet yet.
	census := bfcensus.Census{Domains: domains.count(tally), Partial: !b.started()}
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

// scopeDomains maps the failure domains of a scope to the regions that contain them.
type scopeDomains map[string][]string

// domainsInScope returns the domains of the members in the scope.
func domainsInScope(order *bfroster.Order, scope bfsyntax.Scope) scopeDomains {
	d := scopeDomains{}
	for rank := range order.Len() {
		row := order.At(rank).Row()
		if inScope(scope, row) && !slices.Contains(d[row.Domain], row.Region) {
			d[row.Domain] = append(d[row.Domain], row.Region)
		}
	}
	return d
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

// count sums the tally by domain. The tally identifies domains by name alone, so a name that
// two regions share is counted over both.
func (s scopeDomains) count(tally bfcount.Tally) []bfcensus.Domain {
	counted := map[string]*bfcensus.Domain{}
	for name, regions := range s {
		counted[name] = &bfcensus.Domain{Region: strings.Join(regions, ", "), Domain: name}
	}
	for _, d := range tally.Domains {
		if domain, asked := counted[d.Domain]; asked {
			domain.Nodes, domain.Oldest = d.Members, d.Oldest
		}
	}
	for _, unreachable := range tally.Lacks {
		if domain, asked := counted[unreachable.Domain]; asked {
			domain.Unreachable += unreachable.Members
		}
	}
	var list []bfcensus.Domain
	for _, domain := range counted {
		list = append(list, *domain)
	}
	return list
}

// inForceMethod is the name of the call that returns a node's version in force.
const inForceMethod = "operator.inforce"

type inForceRequest struct{}

type inForceReply struct {
	// Version is 0 if no version is in force, for instance while the node starts.
	Version bfconfig.Version `json:"version"`
}

// InForceMethods returns the call by which other nodes read this node's version in force.
func InForceMethods(view func() *bfroute.View) bfpeer.Methods {
	return bfpeer.Methods{inForceMethod: {
		Purpose: bfpeer.Operators,
		Handle:  func(context.Context, json.RawMessage) (any, error) { return newInForceReply(view()), nil },
	}}
}

func newInForceReply(view *bfroute.View) *inForceReply {
	if view == nil {
		return &inForceReply{}
	}
	return &inForceReply{Version: view.Version()}
}

// censusOfNode queries the node itself: the version known here is the one that the node holds,
// which takes effect there a moment later.
func (b *Backend) censusOfNode(ctx context.Context, instance string) (bfcensus.Census, error) {
	order := b.config.Control.Order()
	rank, found := order.Rank(instance)
	if !found {
		return bfcensus.Census{}, &bfquery.NoInstanceError{Instance: instance}
	}
	row := order.At(rank).Row()
	domain := bfcensus.Domain{Region: row.Region, Domain: row.Domain, Nodes: 1}
	reply, err := b.queryInForce(ctx, row)
	if err != nil {
		domain.Nodes, domain.Unreachable = 0, 1
		return bfcensus.Census{Domains: []bfcensus.Domain{domain}, Unreachable: []string{instance}}, ctx.Err()
	}
	domain.Oldest = reply.Version
	versions := map[bfconfig.Version]int{reply.Version: 1}
	return bfcensus.Census{Domains: []bfcensus.Domain{domain}, Versions: versions}, nil
}

func (b *Backend) queryInForce(ctx context.Context, row *bfroster.Row) (*inForceReply, error) {
	if row.ID == b.config.Control.Self() {
		return newInForceReply(b.config.Control.View()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, censusWait)
	defer cancel()
	reply := &inForceReply{}
	return reply, b.config.Calls.Call(ctx, row.Peer, inForceMethod, &inForceRequest{}, reply)
}
