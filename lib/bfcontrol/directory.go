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

// coldTarget is when a member's target was first seen cold in its incarnation.
type coldTarget struct {
	incarnation uint64
	since       time.Time
}

// share is how the membership comes to those who route by it.
type share struct {
	// order is the one that the spreader has; the others may lack its changes.
	order *bfroster.Order
	stale stale
	at    time.Time
	cold  map[string]coldTarget
}

// stale says who lacks changes. Most changes are suspicions and their
// refutations, which neither of them looks at; a share at 25,000 members costs
// some 30 ms of processor time, so those are left out.
type stale struct{ directory, recovery bool }

func (s stale) any() bool { return s.directory || s.recovery }

const (
	// shareInterval bounds how often a changed membership is shared. The first
	// change after a quiet time is shared at once; the members of a lost domain
	// come one by one, and each share goes through the whole fleet.
	shareInterval = 250 * time.Millisecond
	// sharePerMember stretches the interval with the fleet, to three seconds at
	// 25,000: a hundredth of a core even while members change all the time.
	sharePerMember = 120 * time.Microsecond
)

// next is when a changed membership is shared, the zero time where none waits.
func (s *share) next() time.Time {
	if !s.stale.any() {
		return time.Time{}
	}
	return s.at.Add(max(shareInterval, time.Duration(s.order.Len())*sharePerMember))
}

// after gives a changed membership to the spreader at once and to the others in time.
func (c *Control) after(now time.Time) {
	if order := c.members.Order(); order != c.share.order {
		c.share.order = order
		c.spreader.SetOrder(order)
	}
	if c.share.stale.any() && !now.Before(c.share.next()) {
		c.shareNow(now)
	}
}

// shareNow gives the membership to those who lack changes of it.
func (c *Control) shareNow(now time.Time) {
	lacking := c.share.stale
	c.share.stale, c.share.at = stale{}, now
	if lacking.directory {
		c.swapDirectory(now, c.share.order)
	}
	if lacking.recovery {
		c.force.membersChanged(now)
	}
	if len(c.heard) > c.share.order.Len() {
		maps.DeleteFunc(c.heard, func(hash uint64, _ heardHead) bool {
			_, member := c.share.order.RankByHash(hash)
			return !member
		})
	}
}

// changeShare keeps the addresses of present members, and notes who lacks the change.
func (c *Control) changeShare(a bfmember.Changed) {
	hash, present := bfroster.HashID(a.New.ID), a.New.State.Present()
	if c.peers[a.Old.Peer] == hash {
		delete(c.peers, a.Old.Peer)
	}
	if present {
		c.peers[a.New.Peer] = hash
	}
	came := present != (a.Old.ID != "" && a.Old.State.Present())
	if came || a.Old.Region != a.New.Region || a.Old.Domain != a.New.Domain {
		c.share.stale.recovery = true
	}
	old := a.Old
	old.State, old.Sequence = a.New.State, a.New.Sequence
	if came || present && old != a.New {
		c.share.stale.directory = true
	}
}

// swapDirectory gives the order to the request path in its own terms.
func (c *Control) swapDirectory(now time.Time, order *bfroster.Order) {
	members := make([]bfdirectory.Member, 0, order.Len())
	cold := map[string]coldTarget{}
	for rank := range order.Len() {
		row := order.At(rank).Row()
		members = append(members, bfdirectory.Member{
			Home:          bfrecord.Home{Instance: row.ID, Incarnation: row.Incarnation},
			FailureDomain: row.Domain, Service: row.Service, Inbound: row.Inbound, Peer: row.Peer,
			Target: c.target(now, row, cold),
		})
	}
	c.share.cold = cold
	c.parts.Directory.Swap(members)
}

// target tells the state of a member's target, and adds one that is cold to cold.
func (c *Control) target(now time.Time, row *bfroster.Row, cold map[string]coldTarget) bfchoice.Member {
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

// coldTarget holds the start of a ramp: were it taken anew with each change of
// the membership, a cold target would never be seen warm.
func (c *Control) coldTarget(now time.Time, row *bfroster.Row) coldTarget {
	held, found := c.share.cold[row.ID]
	if !found || held.incarnation != row.Incarnation {
		return coldTarget{row.Incarnation, now}
	}
	return held
}

func (c *Control) coldStart(service string) time.Duration {
	object, _ := c.state.Load().Object(bfconfig.Ref{Kind: bfconfig.KindService, Name: service})
	if spec, found := object.(bfconfig.ServiceSpec); found {
		return spec.ColdStart
	}
	return 0
}
