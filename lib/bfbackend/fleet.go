package bfbackend

import (
	"context"

	"bilberryflow.org/lib/bfquery"
	"bilberryflow.org/lib/bfroster"
)

// Members lists the members that the node knows.
func (b *Backend) Members(context.Context) ([]bfquery.Member, error) {
	order := b.config.Control.Order()
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
	order := b.config.Control.Order()
	var list []bfquery.Target
	for rank := range order.Len() {
		if row := order.At(rank).Row(); row.Target != bfroster.TargetNone {
			list = append(list, b.target(row))
		}
	}
	return list, nil
}

// target returns a row's target with its load as last observed by this node.
func (b *Backend) target(row *bfroster.Row) bfquery.Target {
	target := bfquery.Target{
		Instance: row.ID, Service: row.Service, Domain: row.Domain, State: row.Target.String(), Slots: int(row.Slots),
	}
	if chooser := b.config.Directory.Chooser(row.Service); chooser != nil {
		if seen, found := chooser.Set().Target(row.ID); found {
			target.InUse = seen.InFlight()
		}
	}
	return target
}

// Nodes lists the nodes with the newest version that each is known to hold.
func (b *Backend) Nodes(ctx context.Context) ([]bfquery.Node, error) {
	versions, ages, err := b.config.Control.KnownVersions(ctx)
	if err != nil {
		return nil, err
	}
	order, self := b.config.Control.Order(), b.config.Control.Self()
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
