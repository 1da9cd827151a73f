package bfcontrol

import (
	"time"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfrecord"
)

// coldTarget is when a member's target was first seen cold in its incarnation.
type coldTarget struct {
	incarnation uint64
	since       time.Time
}

// swapDirectory gives the order to the request path in its own terms.
func (c *Control) swapDirectory(now time.Time, order *bfmember.Order) {
	members := make([]bfdirectory.Member, 0, order.Len())
	for rank := range order.Len() {
		row := order.At(rank).Row()
		members = append(members, bfdirectory.Member{
			Home:          bfrecord.Home{Instance: row.ID, Incarnation: row.Incarnation},
			FailureDomain: row.Domain, Service: row.Service, Inbound: row.Inbound, Peer: row.Peer,
			Target: c.target(now, row),
		})
	}
	c.parts.Directory.Swap(members)
}

func (c *Control) target(now time.Time, row *bfmember.Row) bfchoice.Member {
	member := bfchoice.Member{ID: row.ID, FailureDomain: row.Domain, Slots: int(row.Slots), State: bfchoice.Silent}
	switch row.Target {
	case bfmember.TargetReady:
		member.State = bfchoice.Ready
	case bfmember.TargetCold:
		member.State = bfchoice.Cold
		member.ColdSince = c.coldSince(now, row)
		member.ColdStart = c.coldStart(row.Service)
	case bfmember.TargetLeaving:
		member.State = bfchoice.Leaving
	case bfmember.TargetNone, bfmember.TargetSilent:
	}
	if member.State != bfchoice.Cold {
		delete(c.cold, row.ID)
	}
	return member
}

// coldSince holds the start of a ramp: were it taken anew with each change of
// the membership, a cold target would never be seen warm.
func (c *Control) coldSince(now time.Time, row *bfmember.Row) time.Time {
	held, found := c.cold[row.ID]
	if !found || held.incarnation != row.Incarnation {
		held = coldTarget{row.Incarnation, now}
		c.cold[row.ID] = held
	}
	return held.since
}

func (c *Control) coldStart(service string) time.Duration {
	object, _ := c.state.Load().Object(bfconfig.Ref{Kind: bfconfig.KindService, Name: service})
	if spec, found := object.(bfconfig.ServiceSpec); found {
		return spec.ColdStart
	}
	return 0
}
