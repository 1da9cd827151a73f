package bfmember

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
)

// join is the state of the initial transfer of the view from peers.
type join struct {
	active     bool
	candidates []string
	// sampled is set once the sample page has arrived; later pages are requested
	// from members drawn from it.
	sampled bool
	after   bfroster.Key
	nonce   uint32
	// waiting is set while a page request is outstanding; due is then its deadline.
	waiting  bool
	due      time.Time
	backoff  time.Duration
	reported bool
}

const (
	firstJoinBackoff = time.Second
	maxJoinBackoff   = 30 * time.Second
	sampleRows       = 32
)

func (m *Members) startJoin(now time.Time, seeds []string) {
	m.join = join{active: true, candidates: slices.Clone(seeds), backoff: firstJoinBackoff}
	m.emit(ReadMeeting{})
	m.join.due = now.Add(m.options.JoinTimeout)
	if len(seeds) > 0 {
		m.requestPage(now)
	}
}

func (m *Members) tickJoin(now time.Time) {
	if m.join.active && isDue(now, m.join.due) {
		m.requestPage(now)
	}
}

// requestPage requests a page from the next peer, or backs off if no peer is left.
func (m *Members) requestPage(now time.Time) {
	address, found := m.nextPageSource()
	if !found {
		m.backOffJoin(now)
		return
	}
	limit := m.options.PageRows
	if !m.join.sampled {
		// Nodes that join at the same time read the same few meeting rows. If each
		// transferred its whole view from those peers, they would send megabytes
		// per joiner, so the first page is only a sample of members to draw the
		// sources of the other pages from.
		limit = sampleRows
		self := m.Self().Key()
		m.join.after = bfroster.Key{Region: self.Region, Domain: self.Domain, Hash: m.rand.Uint64()}
	}
	m.join.nonce = m.detector.newNonce()
	m.join.waiting = true
	m.join.due = now.Add(m.options.JoinTimeout)
	m.send(address, bfgossip.PageRequest{Self: m.Self(), Nonce: m.join.nonce, After: m.join.after, Limit: limit})
}

func (m *Members) nextPageSource() (string, bool) {
	if m.join.sampled {
		if picked := m.pickAlive(1, m.selfHash); len(picked) > 0 {
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

// backOffJoin schedules the next join attempt after no peer has answered. The
// node may be the first of the fleet, so it also reports that it has joined.
func (m *Members) backOffJoin(now time.Time) {
	if !m.join.reported {
		m.join.reported = true
		m.emit(Joined{Members: m.memberCount()})
	}
	m.join.sampled = m.memberCount() > 1
	m.join.waiting = false
	m.join.due = now.Add(m.join.backoff/2 + m.jitter(m.join.backoff))
	m.join.backoff = min(2*m.join.backoff, maxJoinBackoff)
	m.emit(ReadMeeting{})
}

func (m *Members) onPageRequest(now time.Time, r bfgossip.PageRequest) {
	if !m.applySender(now, r.Self) {
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
	m.applyRows(now, p.Rows, false)
	for _, outage := range p.Outages {
		m.applyOutage(now, outage)
	}
	switch {
	case !m.join.sampled:
		m.join.sampled = true
		m.join.after = bfroster.Key{}
	case len(p.Rows) == 0 || !p.More:
		m.join.active = false
		m.join.due = time.Time{}
		m.join.reported = true
		m.emit(Joined{Members: m.memberCount()})
		return
	default:
		m.join.after = p.Rows[len(p.Rows)-1].Key()
	}
	m.requestPage(now)
}

// meetingDelay returns a random delay whose mean grows with the fleet, so that the
// fleet's rate of meeting writes does not depend on its size.
func (m *Members) meetingDelay() time.Duration {
	mean := float64(m.memberCount()) / m.options.MeetingRate
	return m.exponentialDelay(time.Duration(mean * float64(time.Second)))
}

// MeetingRead handles the result of ReadMeeting; an error changes nothing.
func (m *Members) MeetingRead(now time.Time, rows []bfgossip.Meeting, err error) []Action {
	m.begin(now)
	if err == nil {
		m.onMeetingRows(now, rows)
	}
	return m.finish()
}

func (m *Members) onMeetingRows(now time.Time, rows []bfgossip.Meeting) {
	self := m.Self()
	var unknownPeers []string
	for _, row := range rows {
		held, known := m.table.Row(bfroster.HashID(row.Row.ID))
		if row.Row.ID != self.ID && (!known || !held.State.Present()) {
			unknownPeers = append(unknownPeers, row.Row.Peer)
		}
	}
	if m.join.active {
		m.join.candidates = append(m.join.candidates, unknownPeers...)
		switch {
		case m.join.waiting:
		case len(m.join.candidates) > 0:
			m.requestPage(now)
		case !m.join.reported:
			// There is no peer to request a page from, so this node is the first of
			// the fleet and has joined already.
			m.join.reported = true
			m.emit(Joined{Members: m.memberCount()})
		}
	} else {
		// Merges two fleets that formed separately, or that were partitioned for
		// longer than DeadRetention.
		for _, address := range unknownPeers {
			m.send(address, m.summary())
		}
	}
	if self.State != bfroster.Left && (!m.join.active || len(unknownPeers) == 0) {
		m.emit(WriteMeeting{bfgossip.Meeting{Slot: m.pickSlot(rows), At: now, Row: self}})
	}
}

// pickSlot returns the node's own slot, else a random empty one, else the one written least recently.
func (m *Members) pickSlot(rows []bfgossip.Meeting) int {
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
