package bfmember

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
)

// DomainLost reports an outage that began or ended here.
type DomainLost struct{ Outage bfgossip.Outage }

func (DomainLost) isAction() {}

const (
	// minOutage is the smallest domain that is told as a whole.
	minOutage = 24
	// outageSuspects members must be suspected, or dead of late, before a domain is checked.
	outageSuspects = 5
	// outageRecent is how long a death counts towards an outage.
	outageRecent = time.Minute
	// outageProbes more members, drawn by chance, must all fail to answer.
	outageProbes = 3
	// outageHold is how long after its return a domain is not declared lost again.
	outageHold = 5 * time.Minute
	maxOutages = 1024
)

// outages is what this node knows of whole domains.
type outages struct {
	records *bfgossip.Outages
	checks  map[bfroster.Key]*outageCheck
	contact map[bfroster.Key]time.Time
}

// outageCheck counts the probes that decide whether a domain is lost.
type outageCheck struct{ failed int }

func newOutages() outages {
	return outages{
		records: bfgossip.NewOutages(), checks: map[bfroster.Key]*outageCheck{}, contact: map[bfroster.Key]time.Time{},
	}
}

// weigh checks a domain in which many members came to be suspected.
//
// The suspicions alone may be a lost rack. Only if further members, drawn by
// chance, answer neither this node nor the others it asks is the domain lost:
// with a tenth of it alive that happens in error three times in four, with half
// of it once in eight; and one member heard from ends the outage.
func (m *Members) weigh(now time.Time, row bfroster.Row) {
	domain := row.DomainKey()
	if row.State != bfroster.Suspect || m.outages.records.Lost(domain) || m.outages.checks[domain] != nil || domain == m.self().DomainKey() {
		return
	}
	since, known := m.outages.records.Since(domain)
	if known && now.Sub(since) < outageHold || m.recentContact(now, domain) {
		return
	}
	members := m.table.InDomain(domain)
	alive := slices.DeleteFunc(slices.Clone(members), func(member *bfroster.Member) bool { return !member.Alive() })
	dead := m.table.DeadSince(domain, now.Add(-outageRecent))
	if len(members)+dead < minOutage || len(members)-len(alive)+dead < outageSuspects {
		return
	}
	m.outages.checks[domain] = &outageCheck{}
	m.rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, member := range alive[:min(outageProbes, len(alive))] {
		m.probeFor(now, member, domain)
	}
	if len(alive) < outageProbes {
		m.declare(now, domain)
	}
}

// shielded reports whether news of a member is void while its domain is lost.
//
// Nobody can tell a dead member of a lost domain from a living one, and deaths
// declared in error would each have to be refuted when the domain is back. A
// true death is found again then.
func (m *Members) shielded(row bfroster.Row) bool {
	if !m.table.Lost(row.DomainKey()) {
		return false
	}
	held, found := m.table.Row(bfroster.HashID(row.ID))
	return found && held.Incarnation == row.Incarnation && (row.State == bfroster.Suspect || row.State == bfroster.Dead)
}

func (m *Members) recentContact(now time.Time, domain bfroster.Key) bool {
	at, found := m.outages.contact[domain]
	return found && now.Sub(at) < 2*m.options.ProbeInterval
}

// checkFailed counts a probe of a check that nobody answered.
func (m *Members) checkFailed(now time.Time, domain bfroster.Key) {
	check, running := m.outages.checks[domain]
	if !running {
		return
	}
	if check.failed++; check.failed >= outageProbes {
		m.declare(now, domain)
	}
}

func (m *Members) declare(now time.Time, domain bfroster.Key) {
	delete(m.outages.checks, domain)
	m.changeOutage(now, bfgossip.Outage{Region: domain.Region, Domain: domain.Domain, Epoch: m.outages.records.Epoch(domain) + 1, Lost: true})
}

// heardFrom ends an outage: a message came from a member of the domain.
func (m *Members) heardFrom(now time.Time, from uint64) {
	member := m.table.Present(from)
	if member == nil {
		return
	}
	domain := member.Row().DomainKey()
	m.outages.contact[domain] = now
	delete(m.outages.checks, domain)
	if m.outages.records.Lost(domain) {
		m.changeOutage(now, bfgossip.Outage{Region: domain.Region, Domain: domain.Domain, Epoch: m.outages.records.Epoch(domain) + 1})
	}
}

// learnOutage takes a record that another told.
func (m *Members) learnOutage(now time.Time, o bfgossip.Outage) {
	domain := o.Key()
	if err := o.Check(); err != nil {
		m.do(Report{Err: err})
		return
	}
	if o.Epoch <= m.outages.records.Epoch(domain) || m.outages.records.Len() >= maxOutages {
		return
	}
	m.changeOutage(now, o)
	// This node is of the domain itself, or just heard from it: it knows better.
	if o.Lost && (domain == m.self().DomainKey() || m.recentContact(now, domain)) {
		m.changeOutage(now, bfgossip.Outage{Region: o.Region, Domain: o.Domain, Epoch: o.Epoch + 1})
	}
}

func (m *Members) changeOutage(now time.Time, o bfgossip.Outage) {
	domain := o.Key()
	before := m.outages.records.Lost(domain)
	m.outages.records.Set(now, o)
	if before == o.Lost {
		return
	}
	m.changed, m.lastChange = true, now
	for _, hash := range m.table.SetLost(domain, o.Lost) {
		delete(m.detector.suspicion, hash)
		m.gossip.Remove(hash)
	}
	m.do(DomainLost{Outage: o})
}
