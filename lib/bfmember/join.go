package bfmember

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
)

// join is the pull of a whole view from peers.
type join struct {
	active     bool
	candidates []string
	// sampled is set once a few rows are held, from which the givers of the pages are drawn.
	sampled bool
	after   bfroster.Key
	nonce   uint32
	// waiting is set while a page is outstanding; due is then its deadline.
	waiting bool
	due     time.Time
	backoff time.Duration
	told    bool
}

const (
	firstJoinBackoff = time.Second
	maxJoinBackoff   = 30 * time.Second
	sampleRows       = 32
)

func (m *Members) startJoin(now time.Time, seeds []string) {
	m.join = join{active: true, candidates: slices.Clone(seeds), backoff: firstJoinBackoff}
	m.do(ReadMeeting{})
	m.join.due = now.Add(m.options.JoinTimeout)
	if len(seeds) > 0 {
		m.askPage(now)
	}
}

func (m *Members) tickJoin(now time.Time) {
	if m.join.active && due(now, m.join.due) {
		m.askPage(now)
	}
}

// askPage asks the next giver, or reads the meeting rows again where none is left.
func (m *Members) askPage(now time.Time) {
	address, found := m.nextGiver()
	if !found {
		m.alone(now)
		return
	}
	limit := m.options.PageRows
	if !m.join.sampled {
		// A herd of joiners knows the same few meeting rows. If each pulled all
		// its pages there, those nodes would send megabytes a joiner; so the
		// first page is only a sample of members to draw the givers from.
		limit = sampleRows
		self := m.Self().Key()
		m.join.after = bfroster.Key{Region: self.Region, Domain: self.Domain, Hash: m.rand.Uint64()}
	}
	m.join.nonce = m.detector.newNonce()
	m.join.waiting = true
	m.join.due = now.Add(m.options.JoinTimeout)
	m.send(address, bfgossip.PageRequest{Self: m.Self(), Nonce: m.join.nonce, After: m.join.after, Limit: limit})
}

func (m *Members) nextGiver() (string, bool) {
	if m.join.sampled {
		if picked := m.pick(1, m.hash); len(picked) > 0 {
			return picked[0].Row().Peer, true
		}
	}
	if len(m.join.candidates) == 0 {
		return "", false
	}
	i := m.rand.IntN(len(m.join.candidates))
	address := m.join.candidates[i]
	m.join.candidates = slices.Delete(m.join.candidates, i, i+1)
	return address, true
}

// alone is when nobody answered: the node may be the first, and keeps looking.
func (m *Members) alone(now time.Time) {
	if !m.join.told {
		m.join.told = true
		m.do(Joined{Members: m.fleet()})
	}
	m.join.sampled = m.fleet() > 1
	m.join.waiting = false
	m.join.due = now.Add(m.join.backoff/2 + m.spread(m.join.backoff))
	m.join.backoff = min(2*m.join.backoff, maxJoinBackoff)
	m.do(ReadMeeting{})
}

func (m *Members) onPageRequest(now time.Time, r bfgossip.PageRequest) {
	if !m.learnSender(now, r.Self) {
		return
	}
	rest := m.table.After(r.After)
	rows := rest[:min(max(r.Limit, 1), m.options.PageRows, len(rest))]
	page := bfgossip.Page{Nonce: r.Nonce, More: len(rows) < len(rest), Outages: m.outages.records.All()}
	for _, member := range rows {
		page.Rows = append(page.Rows, *member.Row())
	}
	m.send(r.Self.Peer, page)
}

func (m *Members) onPage(now time.Time, p bfgossip.Page) {
	if !m.join.active || !m.join.waiting || p.Nonce != m.join.nonce {
		return
	}
	m.join.waiting = false
	m.learnRows(now, p.Rows, false)
	for _, outage := range p.Outages {
		m.learnOutage(now, outage)
	}
	switch {
	case !m.join.sampled:
		m.join.sampled = true
		m.join.after = bfroster.Key{}
	case len(p.Rows) == 0 || !p.More:
		m.join.active = false
		m.join.due = time.Time{}
		m.join.told = true
		m.do(Joined{Members: m.fleet()})
		return
	default:
		m.join.after = p.Rows[len(p.Rows)-1].Key()
	}
	m.askPage(now)
}

// meetingWait spreads the fleet's writes so that their rate does not depend on its size.
func (m *Members) meetingWait() time.Duration {
	mean := float64(m.fleet()) / m.options.MeetingRate
	return m.exponential(time.Duration(mean * float64(time.Second)))
}

// MeetingRead takes the meeting rows that ReadMeeting asked for; on an error nothing changes.
func (m *Members) MeetingRead(now time.Time, rows []bfgossip.Meeting, err error) []Action {
	m.begin(now)
	if err == nil {
		m.meet(now, rows)
	}
	return m.finish()
}

func (m *Members) meet(now time.Time, rows []bfgossip.Meeting) {
	self := m.Self()
	var strangers []string
	for _, row := range rows {
		held, known := m.table.Row(bfroster.HashID(row.Row.ID))
		if row.Row.ID != self.ID && (!known || !held.State.Present()) {
			strangers = append(strangers, row.Row.Peer)
		}
	}
	if m.join.active {
		m.join.candidates = append(m.join.candidates, strangers...)
		switch {
		case m.join.waiting:
		case len(m.join.candidates) > 0:
			m.askPage(now)
		case !m.join.told:
			// Nobody has met here before, so this node is the first; to wait for an
			// answer that nobody was asked for would only hold its start up.
			m.join.told = true
			m.do(Joined{Members: m.fleet()})
		}
	} else {
		// Two fleets that formed apart, or lost each other for longer than dead
		// rows are kept, find each other here.
		for _, address := range strangers {
			m.send(address, m.summary())
		}
	}
	if self.State != bfroster.Left && (!m.join.active || len(strangers) == 0) {
		m.do(WriteMeeting{bfgossip.Meeting{Slot: m.slot(rows), At: now, Row: self}})
	}
}

// slot is the node's own slot, else an empty one, else the one written longest ago.
func (m *Members) slot(rows []bfgossip.Meeting) int {
	used := map[int]time.Time{}
	for _, row := range rows {
		if row.Row.ID == m.Self().ID {
			return row.Slot
		}
		used[row.Slot] = row.At
	}
	if len(used) < m.options.MeetingSlots {
		free := m.rand.IntN(m.options.MeetingSlots)
		for {
			if _, taken := used[free]; !taken {
				return free
			}
			free = (free + 1) % m.options.MeetingSlots
		}
	}
	oldest := 0
	for slot := range m.options.MeetingSlots {
		if used[slot].Before(used[oldest]) {
			oldest = slot
		}
	}
	return oldest
}
