package bfmember

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfview"
)

// openRepair compares views with a random member.
func (m *Members) openRepair() {
	for _, peer := range m.pick(1, m.hash) {
		m.send(peer.Row().Peer, m.summary())
	}
}

func (m *Members) summary() bfgossip.Summary {
	return bfgossip.Summary{Self: m.Self(), Buckets: m.table.Summary(), Outages: m.outages.records.All()}
}

// compareViews repairs early where two views differ though nothing changed here for long.
func (m *Members) compareViews(now time.Time, ack bfgossip.Ack) {
	settled := m.options.suspicion(m.fleet()) * 4
	if ack.Advert.Members == m.table.Digest() || now.Sub(m.lastChange) < settled {
		return
	}
	row, known := m.table.Row(ack.From)
	if !known || m.repair.Sub(now) < m.options.RepairInterval/2 {
		return
	}
	m.repair = now.Add(m.options.RepairInterval / 2)
	m.send(row.Peer, m.summary())
}

// learnSender takes the row that a sender told of itself and reports whether it can be answered.
func (m *Members) learnSender(now time.Time, self bfroster.Row) bool {
	m.learnRows(now, []bfroster.Row{self}, true)
	m.heardFrom(now, bfroster.HashID(self.ID))
	return self.Check() == nil && self.ID != m.Self().ID
}

func (m *Members) onSummary(now time.Time, s bfgossip.Summary) {
	if !m.learnSender(now, s.Self) {
		return
	}
	for _, outage := range s.Outages {
		m.learnOutage(now, outage)
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
	if !m.learnSender(now, d.Self) {
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
	if !m.learnSender(now, r.Self) || len(r.Cells) > bfview.Cells {
		return
	}
	m.learnRows(now, r.Rows, true)
	rows := m.deaths()
	if r.Answer {
		rows = append(rows, m.newer(r)...)
	}
	if len(rows) > 0 {
		m.send(r.Self.Peer, bfgossip.Repair{Self: m.Self(), Cells: r.Cells, Rows: rows})
	}
}

// newer lists the rows of the cells that the sender does not hold as they are here.
func (m *Members) newer(r bfgossip.Repair) []bfroster.Row {
	var rows []bfroster.Row
	for _, row := range m.table.InCells(r.Cells) {
		same := func(o bfroster.Row) bool { return o == row }
		if !slices.ContainsFunc(r.Rows, same) {
			rows = append(rows, row)
		}
	}
	return rows
}

// deaths are the rows that a grave refused, as dead, for the one who still holds them.
func (m *Members) deaths() []bfroster.Row {
	var rows []bfroster.Row
	for _, row := range m.barred {
		if row.State.Present() {
			row.State = bfroster.Dead
			rows = append(rows, row)
		}
	}
	return rows
}
