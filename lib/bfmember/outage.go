package bfmember

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Outage says that a whole failure domain is out of reach, or back.
//
// The loss of a domain of 960 told member by member is 16 kB, each told many
// times and told again as deaths and once more as refutations when the domain
// comes back: at 4 kB a second the fleet is busy with it for many minutes. An
// outage is one record that leaves the members' rows as they are, so both the
// loss and the return cost a few dozen bytes. The larger Epoch wins.
type Outage struct {
	Region string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
	Epoch  uint64 `cbor:"3,keyasint"`
	Lost   bool   `cbor:"4,keyasint,omitempty"`
}

// DomainLost reports an outage that began or ended here.
type DomainLost struct{ Outage Outage }

func (DomainLost) isAction() {}

func (o Outage) check() error {
	if len(o.Region) > maxText || len(o.Domain) > maxText || o.Epoch > maxSequence {
		return &CodecError{What: "outage", Reason: &RowError{Field: "domain or epoch", Reason: "is out of range"}}
	}
	return nil
}

// domainKey is the first key of a domain.
type domainKey = Key

func domainOf(row *Row) domainKey { return Key{Region: row.Region, Domain: row.Domain} }

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
	records map[domainKey]*outageRecord
	checks  map[domainKey]*outageCheck
	contact map[domainKey]time.Time
}

type outageRecord struct {
	outage Outage
	since  time.Time
	sent   int
}

// outageCheck counts the probes that decide whether a domain is lost.
type outageCheck struct{ failed int }

func newOutages() outages {
	return outages{
		records: map[domainKey]*outageRecord{}, checks: map[domainKey]*outageCheck{}, contact: map[domainKey]time.Time{},
	}
}

func (o *outages) lost(domain domainKey) bool {
	record, found := o.records[domain]
	return found && record.outage.Lost
}

// sorted lists the records by domain.
func (o *outages) sorted() []*outageRecord {
	return slices.SortedFunc(maps.Values(o.records), func(a, b *outageRecord) int {
		return cmp.Or(cmp.Compare(a.outage.Region, b.outage.Region), cmp.Compare(a.outage.Domain, b.outage.Domain))
	})
}

// all lists what a node without any knowledge needs.
func (o *outages) all() []Outage {
	var list []Outage
	for _, record := range o.sorted() {
		list = append(list, record.outage)
	}
	return list
}

// pack tells the records not told often enough, before any other news.
func (o *outages) pack(news *News, budget, limit int) int {
	for _, record := range o.sorted() {
		size := encodedSize(record.outage)
		if record.sent >= limit || size > budget {
			continue
		}
		record.sent++
		budget -= size
		news.Outages = append(news.Outages, record.outage)
	}
	return budget
}

// weigh checks a domain in which many members came to be suspected.
//
// The suspicions alone may be a lost rack. Only if further members, drawn by
// chance, answer neither this node nor the others it asks is the domain lost:
// with a tenth of it alive that happens in error three times in four, with half
// of it once in eight; and one member heard from ends the outage.
func (m *Members) weigh(now time.Time, row Row) {
	domain := domainOf(&row)
	if row.State != Suspect || m.outages.lost(domain) || m.outages.checks[domain] != nil || domain == domainOf(m.self()) {
		return
	}
	record, known := m.outages.records[domain]
	if known && now.Sub(record.since) < outageHold || m.recentContact(now, domain) {
		return
	}
	members := m.table.inDomain(domain)
	alive := slices.DeleteFunc(slices.Clone(members), func(member *Member) bool { return !member.Alive() })
	dead := m.deadOfLate(now, domain)
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

func (m *Members) deadOfLate(now time.Time, domain domainKey) int {
	count := 0
	for _, e := range m.table.entries {
		row := &e.member.row
		if row.State == Dead && now.Sub(e.since) < outageRecent && domainOf(row) == domain {
			count++
		}
	}
	return count
}

// shielded reports whether news of a member is void while its domain is lost.
//
// Nobody can tell a dead member of a lost domain from a living one, and deaths
// declared in error would each have to be refuted when the domain is back. A
// true death is found again then.
func (m *Members) shielded(row Row) bool {
	if !m.table.lost[domainOf(&row)] {
		return false
	}
	held, found := m.table.row(HashID(row.ID))
	return found && held.Incarnation == row.Incarnation && (row.State == Suspect || row.State == Dead)
}

func (m *Members) recentContact(now time.Time, domain domainKey) bool {
	at, found := m.outages.contact[domain]
	return found && now.Sub(at) < 2*m.options.ProbeInterval
}

// checkFailed counts a probe of a check that nobody answered.
func (m *Members) checkFailed(now time.Time, domain domainKey) {
	check, running := m.outages.checks[domain]
	if !running {
		return
	}
	if check.failed++; check.failed >= outageProbes {
		m.declare(now, domain)
	}
}

func (m *Members) declare(now time.Time, domain domainKey) {
	delete(m.outages.checks, domain)
	m.changeOutage(now, Outage{Region: domain.Region, Domain: domain.Domain, Epoch: m.epoch(domain) + 1, Lost: true})
}

func (m *Members) epoch(domain domainKey) uint64 {
	if record, found := m.outages.records[domain]; found {
		return record.outage.Epoch
	}
	return 0
}

// heardFrom ends an outage: a message came from a member of the domain.
func (m *Members) heardFrom(now time.Time, from uint64) {
	member := m.table.present(from)
	if member == nil {
		return
	}
	domain := domainOf(&member.row)
	m.outages.contact[domain] = now
	delete(m.outages.checks, domain)
	if m.outages.lost(domain) {
		m.changeOutage(now, Outage{Region: domain.Region, Domain: domain.Domain, Epoch: m.epoch(domain) + 1})
	}
}

// learnOutage takes a record that another told.
func (m *Members) learnOutage(now time.Time, o Outage) {
	domain := Key{Region: o.Region, Domain: o.Domain}
	if err := o.check(); err != nil {
		m.do(Report{Err: err})
		return
	}
	if o.Epoch <= m.epoch(domain) || len(m.outages.records) >= maxOutages {
		return
	}
	m.changeOutage(now, o)
	// This node is of the domain itself, or just heard from it: it knows better.
	if o.Lost && (domain == domainOf(m.self()) || m.recentContact(now, domain)) {
		m.changeOutage(now, Outage{Region: o.Region, Domain: o.Domain, Epoch: o.Epoch + 1})
	}
}

func (m *Members) changeOutage(now time.Time, o Outage) {
	domain := Key{Region: o.Region, Domain: o.Domain}
	before := m.outages.lost(domain)
	m.outages.records[domain] = &outageRecord{outage: o, since: now}
	if before == o.Lost {
		return
	}
	m.changed, m.lastChange = true, now
	for _, hash := range m.table.setLost(domain, o.Lost) {
		delete(m.detector.suspicion, hash)
		delete(m.gossip.changes, hash)
	}
	m.do(DomainLost{Outage: o})
}
