package bfcontrol

import (
	"maps"
	"time"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfroster"
)

// coldTarget records when a member's target was first seen cold in the given incarnation.
type coldTarget struct {
	incarnation uint64
	since       time.Time
}

// publication tracks which membership changes the directory and recovery have not received yet.
type publication struct {
	// order is the order last passed to the spreader; the others may lag behind it.
	order       *bfroster.Order
	pending     unpublished
	last        time.Time
	coldTargets map[string]coldTarget
}

// unpublished records which consumers lack changes. Suspicions and refutations,
// the most frequent changes, affect neither and are not published: one
// publication takes about 30 ms of CPU time at 25,000 members.
type unpublished struct{ directory, recovery bool }

func (u unpublished) any() bool { return u.directory || u.recovery }

const (
	// publishInterval is the minimum time between publications. The first change
	// after it is published at once; later ones are batched, since each publication
	// iterates over the whole fleet.
	publishInterval = 250 * time.Millisecond
	// publishIntervalPerMember lengthens the interval in large fleets, to 3 s at
	// 25,000 members. It limits publication to about 1% of a core.
	publishIntervalPerMember = 120 * time.Microsecond
)

// next returns when pending changes are published, the zero time if there are none.
func (p *publication) next() time.Time {
	if !p.pending.any() {
		return time.Time{}
	}
	return p.last.Add(max(publishInterval, time.Duration(p.order.Len())*publishIntervalPerMember))
}

// after passes a changed membership to the spreader at once and to the other consumers when it is due.
func (c *Control) after(now time.Time) {
	if order := c.members.Order(); order != c.publication.order {
		c.publication.order = order
		c.spreader.SetOrder(order)
	}
	if c.publication.pending.any() && !now.Before(c.publication.next()) {
		c.publishNow(now)
	}
}

// publishNow passes the membership to the consumers that lack changes.
func (c *Control) publishNow(now time.Time) {
	pending := c.publication.pending
	c.publication.pending, c.publication.last = unpublished{}, now
	if pending.directory {
		c.swapDirectory(now, c.publication.order)
	}
	if pending.recovery {
		c.activation.membersChanged(now)
	}
	if len(c.memberHeads) > c.publication.order.Len() {
		maps.DeleteFunc(c.memberHeads, func(hash uint64, _ memberHead) bool {
			_, member := c.publication.order.RankByHash(hash)
			return !member
		})
	}
}

// memberChanged updates the peer addresses and records which consumers need the change.
func (c *Control) memberChanged(a bfmember.Changed) {
	hash, present := bfroster.HashID(a.New.ID), a.New.State.Present()
	if c.peers[a.Old.Peer] == hash {
		delete(c.peers, a.Old.Peer)
	}
	if present {
		c.peers[a.New.Peer] = hash
	}
	presenceChanged := present != (a.Old.ID != "" && a.Old.State.Present())
	if presenceChanged || a.Old.Region != a.New.Region || a.Old.Domain != a.New.Domain {
		c.publication.pending.recovery = true
	}
	old := a.Old
	old.State, old.Sequence = a.New.State, a.New.Sequence
	if presenceChanged || present && old != a.New {
		c.publication.pending.directory = true
	}
}

// swapDirectory replaces the members in the request path's directory.
func (c *Control) swapDirectory(now time.Time, order *bfroster.Order) {
	members := make([]bfdirectory.Member, 0, order.Len())
	cold := map[string]coldTarget{}
	for rank := range order.Len() {
		row := order.At(rank).Row()
		members = append(members, bfdirectory.Member{
			Home:          bfrecord.NodeIncarnation{Instance: row.ID, Incarnation: row.Incarnation},
			FailureDomain: row.Domain, Service: row.Service, Inbound: row.Inbound, Peer: row.Peer,
			Target: c.directoryTarget(now, row, cold),
		})
	}
	c.publication.coldTargets = cold
	c.config.Directory.Swap(members)
}

// directoryTarget converts the target of a member, and records it in cold if it is cold.
func (c *Control) directoryTarget(now time.Time, row *bfroster.Row, cold map[string]coldTarget) bfchoice.Member {
	member := bfchoice.Member{ID: row.ID, FailureDomain: row.Domain, Slots: int(row.Slots), State: bfchoice.Silent}
	switch row.Target {
	case bfroster.TargetReady:
		member.State = bfchoice.Ready
	case bfroster.TargetCold:
		member.State = bfchoice.Cold
		cold[row.ID] = c.coldTarget(now, row)
		member.ColdSince = cold[row.ID].since
		member.ColdStart = c.coldStart(row.Service)
	case bfroster.TargetLeaving:
		member.State = bfchoice.Leaving
	case bfroster.TargetNone, bfroster.TargetSilent:
	}
	return member
}

// coldTarget returns when the target was first seen cold. It preserves the time
// across membership changes; resetting it would restart the cold start ramp each time.
func (c *Control) coldTarget(now time.Time, row *bfroster.Row) coldTarget {
	previous, found := c.publication.coldTargets[row.ID]
	if !found || previous.incarnation != row.Incarnation {
		return coldTarget{row.Incarnation, now}
	}
	return previous
}

func (c *Control) coldStart(service string) time.Duration {
	object, _ := c.state.Load().Object(bfconfig.Ref{Kind: bfconfig.KindService, Name: service})
	if spec, found := object.(bfconfig.ServiceSpec); found {
		return spec.ColdStart
	}
	return 0
}
