package bfquota

import (
	"maps"
	"slices"
	"time"
)

const (
	// outAfter is how long a broker may leave delegations unanswered before the node uses the others.
	outAfter = 600 * time.Millisecond
	// backAfter is how long a broker that did not answer must have answered again, so that one with a
	// bad link doesn't take its workspaces back and forth.
	backAfter = 2 * time.Second
	// creditFor is how long the delegations carry a credit: brokers that miss it get none.
	creditFor = 500 * time.Millisecond
	// contactSpan is how long a node may spend or delegate its entitlement after its last proof that the
	// others count it as a member. It is below censusSpan by more than the age of such a proof, so
	// that a removed member stops before the others divide by the smaller number.
	contactSpan = 4 * time.Second
	// joinDelay is how long a new member waits before it spends, until the others know it.
	joinDelay = time.Second
)

// DelegatorConfig configures a Delegator.
type DelegatorConfig struct {
	// Member is the node's name among the members; Process identifies its process.
	Member  string
	Process uint64
	Terms   Terms
	// Start is when the process started, by the node's clock.
	Start time.Duration
}

// Delegator decides when a node delegates its entitlement, to whom, and when it may spend it itself.
type Delegator struct {
	config   DelegatorConfig
	weakened weakness
	nodes    census
	links    map[string]*link
	// list are the brokers in use. Before are those before a change that isn't complete, and change
	// is the sequence number of the first message after it.
	list, before []string
	change       uint64
	// isDueNow is set while a change has not been sent.
	isDueNow bool
	seq      uint64
	// isMember is set while the node is among the members, joined is when it became one. known is set
	// once the members are known.
	isMember, known bool
	joined          time.Duration
	// contact is the time of the latest proof that the node is a member.
	contact time.Duration
	// credit numbers the latest credit, begun at creditAt; creditDue is set while another is due.
	credit uint64
	// preferred are the brokers that are used if all answer.
	preferred []string
	creditAt  time.Duration
	creditDue bool
	// own is the part that the node spends itself, accrued up to at.
	own Own
	at  time.Duration
}

// link is what the node knows about a broker.
type link struct {
	reading  Reading
	process  uint64
	answered time.Duration
	// sentAt is when the latest message was sent.
	sentAt time.Duration
	// triedSince is when the first message was sent that is unanswered, 0 if there is none.
	triedSince time.Duration
	// leaseEnd is the end of the latest lease by the node's clock. gapEnd is when that lease has certainly ended at the broker, and oldEnd when the latest one
	// from before the change of the list has.
	leaseEnd, gapEnd, oldEnd time.Duration
	// recorded is the newest sequence number that the broker has recorded.
	recorded uint64
	// out is set while the broker isn't used, and backSince is since when it answers again.
	out       bool
	backSince time.Duration
}

// NewDelegator returns the delegator of a node that starts.
func NewDelegator(config DelegatorConfig) *Delegator {
	return &Delegator{
		config: config, nodes: census{span: censusSpan}, links: map[string]*link{}, creditDue: true,
		at: config.Start, contact: config.Start - contactSpan, creditAt: config.Start - config.Terms.Window - creditPause,
	}
}

// Nodes returns the number of nodes that the entitlement is divided by.
func (d *Delegator) Nodes(now time.Duration) int { return d.nodes.largest(now) }

// ObserveMembers records the members: their number, whether the node is one of them, and the brokers
// by preference. proven is set if the members are known to be up to date with the store.
func (d *Delegator) ObserveMembers(count int, isMember, proven bool, brokers []string, now time.Duration) {
	d.Own(now)
	d.nodes.observe(count, now)
	if isMember && !d.isMember {
		d.joined = now
		if !d.known {
			// The row is from before the start of the process, so the others know it.
			d.joined = now - joinDelay
		}
	}
	d.isMember, d.known = isMember, true
	if proven && isMember {
		d.contact = now
	}
	d.choose(brokers, now)
	d.setShare(now)
}

// choose updates the lists of brokers.
func (d *Delegator) choose(candidates []string, now time.Duration) {
	var list []string
	d.preferred = candidates[:min(len(candidates), MaxBrokers)]
	for _, b := range candidates {
		l := d.links[b]
		if l == nil {
			l = &link{}
			d.links[b] = l
		}
		d.judge(l, now)
		if !l.out && len(list) < MaxBrokers {
			list = append(list, b)
		}
	}
	slices.Sort(list)
	for b, l := range d.links {
		if !slices.Contains(candidates, b) && now > l.gapEnd {
			delete(d.links, b)
		}
	}
	if d.before != nil && d.isComplete(now) {
		d.before = nil
		d.isDueNow = true
	}
	if d.before != nil || slices.Equal(list, d.list) {
		return
	}
	if d.mayHoldLease(now) && !d.weakened.noGap {
		d.before = d.list
	}
	for _, l := range d.links {
		l.oldEnd = l.gapEnd
	}
	d.list = list
	d.isDueNow = true
	d.change = d.seq + 1
	d.creditDue = true
}

// judge decides whether a broker is used.
func (d *Delegator) judge(l *link, now time.Duration) {
	switch {
	case !l.out && l.triedSince > 0 && now-l.triedSince > outAfter:
		l.out = true
		l.backSince = never
	case l.out && l.backSince != never && now-l.backSince > backAfter:
		l.out = false
		l.triedSince = 0
	}
}

// mayHoldLease reports whether a broker may still hold a lease of the node.
func (d *Delegator) mayHoldLease(now time.Duration) bool {
	for _, l := range d.links {
		if now < l.gapEnd {
			return true
		}
	}
	return false
}

// isComplete reports whether no broker holds a lease from before the change: each has recorded a later
// message, or its lease is over.
func (d *Delegator) isComplete(now time.Duration) bool {
	for _, b := range d.before {
		if l := d.links[b]; l != nil && now < l.oldEnd && l.recorded < d.change {
			return false
		}
	}
	return true
}

// isEntitled reports whether the node has an entitlement.
func (d *Delegator) isEntitled(now time.Duration) bool {
	return d.isMember && d.inContact(now)
}

// isYoung reports whether others may not know the node as a member yet, or leases of its earlier process,
// which may have had other brokers, may still be in force. Until then it delegates only a credit.
func (d *Delegator) isYoung(now time.Duration) bool {
	return !d.weakened.noGap && (now-d.joined < joinDelay || now < d.config.Start+gap(Lease(d.Nodes(now))))
}

// Message is a delegation and the broker that it is for.
type Message struct {
	Broker     string
	Delegation Delegation
}

// Messages returns the delegations that are sent now. They are to be sent at once or not at all.
func (d *Delegator) Messages(now time.Duration) []Message {
	d.Own(now)
	d.isDueNow = false
	lease := time.Duration(0)
	if d.isEntitled(now) && len(d.list) > 0 {
		lease = Lease(d.Nodes(now))
	}
	credit := d.creditNow(lease, now)
	var messages []Message
	for _, b := range slices.Sorted(maps.Keys(d.links)) {
		l := d.links[b]
		if !d.isDue(b, l, now) {
			continue
		}
		l.sentAt = now
		d.seq++
		m := Delegation{Member: d.config.Member, Process: d.config.Process, Seq: d.seq, Nodes: d.Nodes(now), Brokers: d.list, Before: d.before}
		if l.reading != 0 {
			m.Echo, m.AgeMS = l.reading, milliseconds(now-l.answered)
		}
		if slices.Contains(d.list, b) && l.reading != 0 && lease > 0 {
			m.LeaseMS, m.Credit, m.Young = milliseconds(l.extend(lease, now)), credit, d.isYoung(now)
		}
		if l.triedSince == 0 {
			l.triedSince = now
		}
		messages = append(messages, Message{Broker: b, Delegation: m})
	}
	d.setShare(now)
	return messages
}

// extend extends the lease of a broker and returns the time until its end. The lease of a broker that
// leaves a message unanswered isn't extended, so that the next broker can take over soon.
func (l *link) extend(lease, now time.Duration) time.Duration {
	if l.triedSince > 0 && now-l.triedSince > lease/(2*renewalsPerLease) {
		return max(l.leaseEnd-now, 0)
	}
	l.leaseEnd, l.gapEnd = now+lease, now+gap(lease)
	return lease
}

// probeInterval is the time between two messages to a broker that does not answer.
const probeInterval = time.Second

// isDue reports whether a broker receives a message now. Spare brokers receive none.
func (d *Delegator) isDue(broker string, l *link, now time.Duration) bool {
	if slices.Contains(d.list, broker) || slices.Contains(d.before, broker) {
		return true
	}
	return l.out && now-l.sentAt >= probeInterval
}

// creditPause is the time beyond a window between two credits.
const creditPause = time.Second

// creditNow returns the number of the credit that the delegations carry now, 0 for none.
func (d *Delegator) creditNow(lease, now time.Duration) uint64 {
	if lease == 0 {
		return 0
	}
	if d.creditDue && now-d.creditAt >= d.config.Terms.Window+creditPause {
		d.creditDue = false
		d.credit++
		d.creditAt = now
	}
	if d.credit == 0 || now-d.creditAt > creditFor || d.creditDue {
		return 0
	}
	return d.credit
}

// Answered records a broker's answer to the message with a sequence number. It reports whether this is
// the first one, after which the broker takes delegations.
func (d *Delegator) Answered(broker string, seq uint64, r Receipt, now time.Duration) (first bool) {
	l := d.links[broker]
	if l == nil {
		return false
	}
	first = l.reading == 0
	if l.process != 0 && l.process != r.Process {
		d.creditDue = true
	}
	if l.reading == 0 || r.Reading > l.reading || l.process != r.Process {
		l.reading, l.answered = r.Reading, now
	}
	l.process = r.Process
	if r.Recorded {
		l.recorded = max(l.recorded, seq)
		if d.isMember {
			d.observeContact(now)
		}
	}
	l.triedSince = 0
	if l.out && l.backSince == never {
		l.backSince = now
	}
	return first
}

// observeContact counts answers as a proof of membership if most of the preferred brokers answer: a
// majority of them is on one side of a partition only.
func (d *Delegator) observeContact(now time.Duration) {
	answering := 0
	for _, b := range d.preferred {
		if l := d.links[b]; l != nil && l.reading != 0 && now-l.answered < probeInterval+outAfter {
			answering++
		}
	}
	if answering*2 > len(d.preferred) {
		d.contact = now
	}
}

// inContact reports whether the node may count as a member.
func (d *Delegator) inContact(now time.Duration) bool {
	return now-d.contact <= contactSpan || d.weakened.noContact
}

// ownShare returns the share of the entitlement that the node spends itself.
func (d *Delegator) ownShare(now time.Duration) float64 {
	if !d.isEntitled(now) || d.isYoung(now) || len(d.list) > 0 || d.mayHoldLease(now) && !d.weakened.noGap {
		return 0
	}
	return 1 / float64(d.Nodes(now))
}

// setShare sets the share in force.
func (d *Delegator) setShare(now time.Duration) {
	share := d.ownShare(now)
	if share > 0 && d.own.Share == 0 {
		d.own.Epoch++
		d.own.Began = d.own.Accrued
	}
	d.own.Share = share
}

// Own returns the part of the entitlement that the node spends itself.
func (d *Delegator) Own(now time.Duration) Own {
	if now <= d.at {
		return d.own
	}
	// The share in force may have ended in between, when the contact became too old or the machine was
	// suspended, so only a short time counts.
	const longestStep = time.Second
	if !d.inContact(now) || now-d.at > longestStep {
		d.own.Share = 0
	}
	d.own.Accrued += d.own.Share * (now - d.at).Seconds()
	d.at = now
	return d.own
}

// IsDueNow reports whether messages are due because the lists have changed.
func (d *Delegator) IsDueNow() bool { return d.isDueNow }

// List returns the brokers in use.
func (d *Delegator) List() []string { return d.list }
