package bfmember

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfview"
)

// startRepair starts an anti-entropy exchange with a random member.
func (m *Members) startRepair() {
	for _, peer := range m.pickAlive(1, m.selfHash) {
		m.send(peer.Row().Peer, m.summary())
	}
}

func (m *Members) summary() bfgossip.Summary {
	return bfgossip.Summary{Self: m.Self(), Buckets: m.table.Summary(), Outages: m.outages.records.All()}
}

// compareViews starts an exchange early if the sender's view differs although this view
// has not changed for a while, so that gossip in transit doesn't explain the difference.
func (m *Members) compareViews(now time.Time, ack bfgossip.Ack) {
	settled := m.options.suspicionTimeout(m.memberCount()) * 4
	if ack.Advert.Members == m.table.Digest() || now.Sub(m.lastChange) < settled {
		return
	}
	row, known := m.table.Row(ack.From)
	if !known || m.nextRepair.Sub(now) < m.options.RepairInterval/2 {
		return
	}
	m.nextRepair = now.Add(m.options.RepairInterval / 2)
	m.send(row.Peer, m.summary())
}

// applySender merges the sender's own row and reports whether a reply can be sent to it.
func (m *Members) applySender(now time.Time, self bfroster.Row) bool {
	m.applyRows(now, []bfroster.Row{self}, true)
	m.recordContact(now, bfroster.HashID(self.ID))
	return self.Validate() == nil && self.ID != m.Self().ID
}

func (m *Members) onSummary(now time.Time, s bfgossip.Summary) {
	if !m.applySender(now, s.Self) {
		return
	}
	for _, outage := range s.Outages {
		m.applyOutage(now, outage)
	}
	list := m.table.DifferingBuckets(s.Buckets)
	m.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	detail := bfgossip.Detail{Self: m.Self()}
	for _, b := range list[:min(len(list), m.options.RepairBuckets)] {
		detail.Buckets = append(detail.Buckets, bfgossip.BucketDetail{Bucket: b, Cells: m.table.Detail(b)})
	}
	if len(detail.Buckets) > 0 {
		m.send(s.Self.Peer, detail)
	}
}

func (m *Members) onDetail(now time.Time, d bfgossip.Detail) {
	if !m.applySender(now, d.Self) {
		return
	}
	var wanted []uint16
	for _, b := range d.Buckets[:min(len(d.Buckets), m.options.RepairBuckets)] {
		wanted = append(wanted, m.table.DifferingCells(b.Bucket, b.Cells)...)
	}
	m.rand.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	wanted = wanted[:min(len(wanted), m.options.RepairCells)]
	if len(wanted) > 0 {
		m.send(d.Self.Peer, bfgossip.Repair{Self: m.Self(), Cells: wanted, Rows: m.table.InCells(wanted), Answer: true})
	}
}

func (m *Members) onRepair(now time.Time, r bfgossip.Repair) {
	if !m.applySender(now, r.Self) || len(r.Cells) > bfview.Cells {
		return
	}
	m.applyRows(now, r.Rows, true)
	rows := m.barredRows()
	if r.Answer {
		rows = append(rows, m.missingRows(r)...)
	}
	if len(rows) > 0 {
		m.send(r.Self.Peer, bfgossip.Repair{Self: m.Self(), Cells: r.Cells, Rows: rows})
	}
}

// missingRows lists the rows of the requested cells that the sender does not hold identically.
func (m *Members) missingRows(r bfgossip.Repair) []bfroster.Row {
	var rows []bfroster.Row
	for _, row := range m.table.InCells(r.Cells) {
		same := func(o bfroster.Row) bool { return o == row }
		if !slices.ContainsFunc(r.Rows, same) {
			rows = append(rows, row)
		}
	}
	return rows
}

// barredRows returns, as dead, the received rows whose incarnation was dropped
// here, for the sender that still holds them.
func (m *Members) barredRows() []bfroster.Row {
	var rows []bfroster.Row
	for _, row := range m.barred {
		if row.State.Present() {
			row.State = bfroster.Dead
			rows = append(rows, row)
		}
	}
	return rows
}
