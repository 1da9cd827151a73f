package bfquota

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// BrokerConfig configures a Broker.
type BrokerConfig struct {
	// Self identifies the broker in the lists of other nodes.
	Self  string
	Terms Terms
	// Process identifies the broker's process, and Start is the random reading at which its clock
	// begins: readings of another process prove nothing.
	Process uint64
	Start   Reading
}

// Broker grants the tokens of the workspaces that it serves, out of the entitlements that members
// have delegated to it.
type Broker struct {
	config   BrokerConfig
	weakened weakness
	nodes    census
	delegate map[string]*delegation
	groups   map[string]*group
	stocks   map[string]*stock
	// lots numbers the lots from a random start, so that those of an earlier process aren't mistaken
	// for this one's.
	lots uint64
	// at is the time up to which the groups have accrued, nextEnd a lower bound of the end of the
	// next lease.
	at, nextEnd time.Duration
	// lost is the sum of the shares lost since all stocks were last settled.
	lost float64
}

// delegation is what the broker holds of one member.
type delegation struct {
	process, seq, credit uint64
	// sent is a lower bound of the time at which the message was sent, end that of its lease.
	sent, end time.Duration
	share     float64
	young     bool
	group     *group
}

// group holds the delegations with the same lists of brokers.
type group struct {
	key             string
	brokers, before []string
	members         int
	// share is the sum of the members' shares, accrued its integral over time in seconds, credits the
	// sum of the shares that came with a credit, and young that of the shares of young members.
	share, accrued, credits, young float64
}

// never is later than any time.
const never = time.Duration(math.MaxInt64)

// NewBroker returns a broker without delegations.
func NewBroker(config BrokerConfig) *Broker {
	return &Broker{config: config, lots: config.Process, nodes: census{span: censusSpan}, delegate: map[string]*delegation{}, groups: map[string]*group{}, stocks: map[string]*stock{}, nextEnd: never}
}

// weakness switches safeguards off in tests, to show that each is needed.
type weakness struct {
	noGap, leaseFromReceipt, fullStart, noExpiry, noCensus, noContact, unshared, unordered bool
}

// Reading returns the reading of the broker's clock.
func (b *Broker) Reading(now time.Duration) Reading {
	return b.config.Start + Reading(milliseconds(now))
}

// ObserveMembers records the number of members that the broker's node knows.
func (b *Broker) ObserveMembers(count int, now time.Duration) { b.nodes.observe(count, now) }

// largestLead is by how much a message may appear to come from the future, by rounding.
const largestLead = 5 * time.Millisecond

// Delegate records a member's delegation unless it is older than the one held, or not provably recent.
func (b *Broker) Delegate(d Delegation, now time.Duration) Receipt {
	b.advance(now)
	receipt := Receipt{Reading: b.Reading(now), Process: b.config.Process}
	sent := fromMilliseconds(int64(d.Echo-b.config.Start) + d.AgeMS)
	if d.Echo == 0 || sent > now+largestLead || sent < 0 || d.AgeMS < 0 {
		return receipt
	}
	held := b.delegate[d.Member]
	switch {
	case held == nil:
		held = &delegation{}
		b.delegate[d.Member] = held
	case b.weakened.unordered:
	case held.process == d.Process && held.seq >= d.Seq, held.process != d.Process && held.sent >= sent:
		return receipt
	}
	if held.process != d.Process {
		held.credit = 0
	}
	held.process, held.seq, held.sent = d.Process, d.Seq, sent
	lease := min(fromMilliseconds(d.LeaseMS), maxLease)
	from := sent
	if b.weakened.leaseFromReceipt {
		from = now
	}
	held.end = from + lease
	b.move(held, d, now)
	receipt.Recorded = true
	return receipt
}

// move moves a member's share to the group of its lists.
func (b *Broker) move(held *delegation, d Delegation, now time.Duration) {
	share := 0.0
	if held.end > now {
		share = 1 / float64(max(d.Nodes, b.nodes.largest(now), 1))
		b.nextEnd = min(b.nextEnd, held.end)
	}
	next := b.groupOf(d)
	before, beforeShare := held.group, held.share
	wasYoung := held.young
	next.add(share, d.Young)
	next.members++
	held.group, held.share, held.young = next, share, d.Young
	if held.credit != d.Credit && d.Credit != 0 && share > 0 {
		held.credit = d.Credit
		next.credits += share
	}
	if before == nil {
		return
	}
	before.add(-beforeShare, wasYoung)
	before.members--
	switch {
	case before != next:
		b.countLoss(beforeShare, now)
	case beforeShare > share:
		b.countLoss(beforeShare-share, now)
	}
}

// add adds a share of a member.
func (g *group) add(share float64, young bool) {
	if young {
		g.young += share
	} else {
		g.share += share
	}
}

func (b *Broker) groupOf(d Delegation) *group {
	key := strings.Join(d.Brokers, ",") + "|" + strings.Join(d.Before, ",")
	g := b.groups[key]
	if g == nil {
		g = &group{key: key, brokers: slices.Clone(d.Brokers), before: slices.Clone(d.Before)}
		b.groups[key] = g
	}
	return g
}

// service is what a broker does for a workspace of the members of a group.
type service uint8

const (
	// serveNothing: another broker serves the workspace.
	serveNothing service = iota
	// serveCredit: the broker before a change of the lists may still have a lease, so only a credit is
	// granted.
	serveCredit
	serveAll
)

// serviceOf returns what the broker does for a workspace of the members of a group.
func (b *Broker) serviceOf(g *group, workspace string) service {
	switch {
	case Owner(workspace, g.brokers) != b.config.Self:
		return serveNothing
	case len(g.before) > 0 && Owner(workspace, g.before) != b.config.Self:
		return serveCredit
	}
	return serveAll
}

// advance accrues up to now and ends the leases that are over.
func (b *Broker) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	if b.nextEnd <= now {
		b.endLeases(now)
	}
	b.accrue(now)
}

func (b *Broker) accrue(now time.Duration) {
	if now <= b.at {
		return
	}
	for _, g := range b.groups {
		g.accrued += g.share * (now - b.at).Seconds()
	}
	b.at = now
}

// endLeases ends the leases that end until now, in their order.
func (b *Broker) endLeases(now time.Duration) {
	var ended []*delegation
	b.nextEnd = never
	for member, d := range b.delegate {
		switch {
		case d.share > 0 && d.end <= now:
			ended = append(ended, d)
		case d.share > 0:
			b.nextEnd = min(b.nextEnd, d.end)
		case now-d.end > forgetAfter:
			d.group.members--
			delete(b.delegate, member)
		}
	}
	slices.SortFunc(ended, func(x, y *delegation) int { return cmp.Compare(x.end, y.end) })
	for _, d := range ended {
		b.accrue(d.end)
		d.group.add(-d.share, d.young)
		share := d.share
		d.share = 0
		b.countLoss(share, d.end)
	}
	b.removeGroups()
}

// forgetAfter is how long the sequence numbers of a member without a lease are kept.
const forgetAfter = 30 * time.Second

// tolerableLoss is the sum of shares that the broker may lose before it reduces the balances of all
// workspaces. Each reduction costs a step for each workspace.
const tolerableLoss = 0.02

// countLoss reduces all balances once enough shares are lost, so that a balance which was earned with
// shares that are now spent elsewhere isn't spent as well.
func (b *Broker) countLoss(share float64, now time.Duration) {
	if b.lost += share; b.lost <= tolerableLoss {
		return
	}
	b.lost = 0
	for _, s := range b.stocks {
		b.settle(s, now)
	}
}

// removeGroups removes the groups without members, after all stocks have received what they accrued.
func (b *Broker) removeGroups() {
	empty := false
	for _, g := range b.groups {
		if g.members == 0 {
			empty = true
		}
	}
	if !empty {
		return
	}
	for _, s := range b.stocks {
		b.settle(s, b.at)
	}
	for key, g := range b.groups {
		if g.members > 0 {
			continue
		}
		for _, s := range b.stocks {
			delete(s.marks, g)
		}
		delete(b.groups, key)
	}
}

// Configure sets the limits in force; those of other workspaces are dropped.
func (b *Broker) Configure(limits []Limit, now time.Duration) {
	b.advance(now)
	kept := make(map[string]bool, len(limits))
	for _, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		kept[l.Workspace] = true
		if s := b.stocks[l.Workspace]; s != nil {
			b.settle(s, now)
			s.limit = l
			b.settle(s, now)
			continue
		}
		b.stocks[l.Workspace] = b.newStock(l)
	}
	for name := range b.stocks {
		if !kept[name] {
			delete(b.stocks, name)
		}
	}
}
