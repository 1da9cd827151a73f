package bfmember

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
)

// OutageChanged reports that an outage of a failure domain began or ended in this node's view.
type OutageChanged struct{ Outage bfgossip.Outage }

func (OutageChanged) isAction() {}

const (
	// minOutage is the smallest number of members of a failure domain with outage records.
	minOutage = 24
	// outageSuspects is the number of suspected or recently dead members that starts a check.
	outageSuspects = 5
	// outageRecent is how long a death counts towards an outage.
	outageRecent = time.Minute
	// outageProbes is the number of random alive members whose probes must all fail.
	outageProbes = 3
	// outageHold is the time after the end of an outage in which the same domain isn't
	// declared lost again.
	outageHold = 5 * time.Minute
	// maxOutages bounds the number of domains with an outage record.
	maxOutages = 1024
)

// outages is this node's state of the detection of lost failure domains.
type outages struct {
	records     *bfgossip.Outages
	checks      map[bfroster.Key]*outageCheck
	lastContact map[bfroster.Key]time.Time
}

// outageCheck counts the failed probes of a check.
type outageCheck struct{ failed int }

func newOutages() outages {
	return outages{
		records: bfgossip.NewOutages(), checks: map[bfroster.Key]*outageCheck{}, lastContact: map[bfroster.Key]time.Time{},
	}
}

// startOutageCheck probes random members of a domain with many suspected members.
//
// The suspicions alone may come from a lost rack. The domain is declared lost only
// if the probes of outageProbes further random members fail, direct and indirect.
// That is wrong with probability 1/8 if half of the members are alive, and 3/4 if a
// tenth of them are. Any message from a member ends the outage.
func (m *Members) startOutageCheck(now time.Time, row bfroster.Row) {
	domain := row.DomainKey()
	if row.State != bfroster.Suspect || m.outages.records.Lost(domain) || m.outages.checks[domain] != nil || domain == m.selfRow().DomainKey() {
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
		m.probeWithDeadline(now, member, domain)
	}
	if len(alive) < outageProbes {
		m.declareLost(now, domain)
	}
}

// suppressed reports whether a member's row is ignored because its domain is lost.
//
// During an outage, dead and alive members of the domain can't be distinguished,
// and each wrong death would have to be refuted when the domain returns. Real
// deaths are detected again then.
func (m *Members) suppressed(row bfroster.Row) bool {
	if !m.table.Lost(row.DomainKey()) {
		return false
	}
	held, found := m.table.Row(bfroster.HashID(row.ID))
	return found && held.Incarnation == row.Incarnation && (row.State == bfroster.Suspect || row.State == bfroster.Dead)
}

func (m *Members) recentContact(now time.Time, domain bfroster.Key) bool {
	at, found := m.outages.lastContact[domain]
	return found && now.Sub(at) < 2*m.options.ProbeInterval
}

// countFailedProbe counts a failed probe of a check.
func (m *Members) countFailedProbe(now time.Time, domain bfroster.Key) {
	check, running := m.outages.checks[domain]
	if !running {
		return
	}
	if check.failed++; check.failed >= outageProbes {
		m.declareLost(now, domain)
	}
}

func (m *Members) declareLost(now time.Time, domain bfroster.Key) {
	delete(m.outages.checks, domain)
	m.changeOutage(now, bfgossip.Outage{Region: domain.Region, Domain: domain.Domain, Epoch: m.outages.records.Epoch(domain) + 1, Lost: true})
}

// recordContact records the receipt of a message from a member: it cancels a check of
// the member's domain and ends an outage of it.
func (m *Members) recordContact(now time.Time, from uint64) {
	member := m.table.Present(from)
	if member == nil {
		return
	}
	domain := member.Row().DomainKey()
	m.outages.lastContact[domain] = now
	delete(m.outages.checks, domain)
	if m.outages.records.Lost(domain) {
		m.changeOutage(now, bfgossip.Outage{Region: domain.Region, Domain: domain.Domain, Epoch: m.outages.records.Epoch(domain) + 1})
	}
}

// applyOutage merges an outage record received from another node.
func (m *Members) applyOutage(now time.Time, o bfgossip.Outage) {
	domain := o.Key()
	if err := o.Check(); err != nil {
		m.emit(Report{Err: err})
		return
	}
	if o.Epoch <= m.outages.records.Epoch(domain) || m.outages.records.Len() >= maxOutages {
		return
	}
	m.changeOutage(now, o)
	// This node is in the domain, or received a message from it just now, so it
	// refutes the outage with a higher epoch.
	if o.Lost && (domain == m.selfRow().DomainKey() || m.recentContact(now, domain)) {
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
		delete(m.detector.suspicionDeadlines, hash)
		m.gossip.Remove(hash)
	}
	m.emit(OutageChanged{Outage: o})
}
