package bfmember

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfview"
)

// Members decides for one node who is in the fleet; it is for one goroutine at a time.
type Members struct {
	options Options
	rand    *rand.Rand
	hash    uint64
	table   *bfview.Table
	gossip  *bfgossip.Queue
	order   atomic.Pointer[bfroster.Order]
	advert  bfgossip.Advert
	// out collects the actions of the call in progress.
	out []Action
	// barred are the rows of the message in progress that a grave refused.
	barred []bfroster.Row
	// missed counts news that did not fit the row held; a repair brings what is true of it.
	missed  int
	changed bool

	lastCall   time.Time
	lastChange time.Time
	detector   detector
	outages    outages
	join       join
	repair     time.Time
	meeting    time.Time
	sweep      time.Time
	reconnect  time.Time
}

// New makes the core of the node that self describes; its incarnation is the time of its start.
func New(options Options, self bfroster.Row, rng *rand.Rand) (*Members, error) {
	if err := self.Check(); err != nil {
		return nil, err
	}
	m := &Members{
		options: options, rand: rng, hash: bfroster.HashID(self.ID), table: bfview.NewTable(), gossip: bfgossip.NewQueue(),
		detector: newDetector(rng.Uint32()), outages: newOutages(),
	}
	m.order.Store(bfroster.NewOrder(nil))
	m.table.Merge(time.Time{}, self)
	m.gossip.Add(m.hash, true)
	m.publish()
	return m, nil
}

// Order is the view now; it may be called from any goroutine.
func (m *Members) Order() *bfroster.Order { return m.order.Load() }

// Self is the node's own row.
func (m *Members) Self() bfroster.Row {
	row, _ := m.table.Row(m.hash)
	return row
}

func (m *Members) self() *bfroster.Row { return m.table.Member(m.hash).Row() }

// Row is what is known of a member, dead ones included.
func (m *Members) Row(id string) (bfroster.Row, bool) {
	row, found := m.table.Row(bfroster.HashID(id))
	return row, found && row.ID == id
}

// Missed counts news that did not fit the row held.
func (m *Members) Missed() int { return m.missed }

// Pending is how many changes wait to be told.
func (m *Members) Pending() int { return m.gossip.Len() }

// SetAdvert sets what the node tells of its configuration.
func (m *Members) SetAdvert(version, digest uint64) {
	m.advert.Version, m.advert.Digest = version, digest
}

// Start begins to look for the fleet; seeds are addresses from the settings.
func (m *Members) Start(now time.Time, seeds []string) []Action {
	m.begin(now)
	m.detector.next = now.Add(m.spread(m.options.ProbeInterval))
	m.repair = now.Add(m.exponential(m.options.RepairInterval))
	m.sweep = now.Add(m.spread(sweepInterval))
	m.reconnect = now.Add(m.exponential(m.options.ReconnectInterval))
	m.meeting = now.Add(m.meetingWait())
	m.startJoin(now, seeds)
	return m.finish()
}

const sweepInterval = time.Minute

// Tick does what is due; the next call is due at Next.
func (m *Members) Tick(now time.Time) []Action {
	m.begin(now)
	if m.Self().State == bfroster.Left {
		return m.finish()
	}
	m.tickDetector(now)
	m.tickJoin(now)
	if due(now, m.repair) {
		m.repair = now.Add(m.exponential(m.options.RepairInterval))
		m.openRepair()
	}
	if due(now, m.reconnect) {
		m.reconnect = now.Add(m.exponential(m.options.ReconnectInterval))
		m.probeDead()
	}
	if due(now, m.meeting) {
		m.meeting = now.Add(m.meetingWait())
		m.do(ReadMeeting{})
	}
	if due(now, m.sweep) {
		m.sweep = now.Add(sweepInterval)
		m.table.Sweep(now, m.options.retention())
	}
	return m.finish()
}

// Next is when Tick has something to do.
func (m *Members) Next() time.Time {
	next := m.detector.due()
	for _, at := range []time.Time{m.join.due, m.repair, m.reconnect, m.meeting, m.sweep} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

func due(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// Receive takes a message; from is the address that datagrams of its sender come from.
func (m *Members) Receive(now time.Time, from string, message bfgossip.Message) []Action {
	m.begin(now)
	switch message := message.(type) {
	case bfgossip.Probe:
		m.onProbe(now, from, message)
	case bfgossip.Ack:
		m.onAck(now, message)
	case bfgossip.ProbeRequest:
		m.onProbeRequest(now, from, message)
	case bfgossip.Summary:
		m.onSummary(now, message)
	case bfgossip.Detail:
		m.onDetail(now, message)
	case bfgossip.Repair:
		m.onRepair(now, message)
	case bfgossip.PageRequest:
		m.onPageRequest(now, message)
	case bfgossip.Page:
		m.onPage(now, message)
	}
	return m.finish()
}

// SetTarget tells a change of the node's own target.
func (m *Members) SetTarget(now time.Time, target bfroster.TargetState, slots uint32) []Action {
	m.begin(now)
	self := m.Self()
	if self.State != bfroster.Left && (self.Target != target || self.Slots != slots) {
		self.Target, self.Slots = target, slots
		self.Sequence++
		m.tellSelf(now, self)
		if target == bfroster.TargetLeaving {
			m.spray()
		}
	}
	return m.finish()
}

// Leave tells that the node stops for good; it is the last thing the node says.
func (m *Members) Leave(now time.Time) []Action {
	m.begin(now)
	self := m.Self()
	self.State = bfroster.Left
	m.tellSelf(now, self)
	m.spray()
	return m.finish()
}

func (m *Members) begin(now time.Time) {
	m.out, m.barred = nil, nil
	if !m.lastCall.IsZero() && now.Sub(m.lastCall) > m.options.paused() {
		m.wake(now)
	}
	m.lastCall = now
}

func (m *Members) finish() []Action {
	if m.changed {
		m.publish()
	}
	return m.out
}

func (m *Members) publish() {
	m.changed = false
	m.advert.Members = m.table.Digest()
	m.order.Store(m.table.NextOrder(m.order.Load()))
}

func (m *Members) do(a Action) { m.out = append(m.out, a) }

func (m *Members) send(address string, message bfgossip.Message) {
	m.do(Send{Address: address, Message: message})
}

// learn takes a row that someone told, or that this node concluded.
func (m *Members) learn(now time.Time, row bfroster.Row, tell bool) {
	hash := bfroster.HashID(row.ID)
	if hash == m.hash && row.ID == m.Self().ID {
		m.refute(now, row)
		return
	}
	if m.shielded(row) {
		return
	}
	result, old := m.table.Merge(now, row)
	switch result {
	case bfview.Stale:
	case bfview.Barred:
		m.barred = append(m.barred, row)
	case bfview.Clashing:
		m.do(Report{Err: &bfview.CollisionError{Held: old.ID, Refused: row.ID}})
	case bfview.Accepted:
		m.accept(now, hash, old, row, tell)
	}
}

func (m *Members) accept(now time.Time, hash uint64, old, row bfroster.Row, tell bool) {
	m.changed, m.lastChange = true, now
	m.detector.track(now, hash, row, m.options.suspicion(m.fleet()))
	if old.ID == "" {
		m.detector.addToRing(m.rand, hash)
	}
	if tell {
		m.gossip.Add(hash, old.Incarnation != row.Incarnation)
	}
	m.do(Changed{Old: old, New: row})
	m.weigh(now, row)
}

// tellSelf changes the node's own row, which nobody else does.
func (m *Members) tellSelf(now time.Time, self bfroster.Row) {
	_, old := m.table.Merge(now, self)
	m.accept(now, m.hash, old, self, true)
}

// DuplicateError reports a process that runs under this node's ID and started later.
type DuplicateError struct{ ID, Peer, Other string }

// Error names the ID and both addresses.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("instance %q at %s runs at %s too", e.ID, e.Peer, e.Other)
}

// refute outdoes what others say of this node.
//
// A suspicion needs a higher sequence only. A death needs a new incarnation:
// others may have dropped the row by then, and their graves bar the old one.
func (m *Members) refute(now time.Time, told bfroster.Row) {
	self := m.Self()
	if self.State == bfroster.Left || told.Incarnation < self.Incarnation {
		return
	}
	same := told.Incarnation == self.Incarnation
	if !same && told.State.Present() {
		m.do(Report{Err: &DuplicateError{ID: self.ID, Peer: self.Peer, Other: told.Peer}})
	}
	switch {
	case !same || !told.State.Present():
		self.Incarnation = max(uint64(now.UnixMicro()), told.Incarnation+1)
		self.Sequence = 0
	case bfroster.Compare(told, self) > 0:
		self.Sequence = told.Sequence + 1
	default:
		return
	}
	m.tellSelf(now, self)
	m.do(Refuted{Told: told, Self: self})
}

// learnNews takes what rode on a probe or ack.
func (m *Members) learnNews(now time.Time, news bfgossip.News) {
	for _, outage := range news.Outages {
		m.learnOutage(now, outage)
	}
	m.learnRows(now, news.Rows, true)
	for _, mark := range news.Marks {
		m.learnMark(now, mark)
	}
	for _, loss := range news.Losses {
		m.learnLoss(now, loss)
	}
}

func (m *Members) learnRows(now time.Time, rows []bfroster.Row, tell bool) {
	for _, row := range rows {
		if err := row.Check(); err != nil {
			m.do(Report{Err: err})
			continue
		}
		m.learn(now, row, tell)
	}
}

func (m *Members) learnMark(now time.Time, mark bfgossip.Mark) {
	row, found := m.table.Row(mark.Hash)
	if !found || row.Incarnation < mark.Incarnation {
		m.missed++
		return
	}
	if row.Incarnation > mark.Incarnation || mark.Sequence < row.Sequence {
		return
	}
	row.State, row.Sequence, row.Target, row.Slots = bfroster.Alive, mark.Sequence, mark.Target, mark.Slots
	m.learnRows(now, []bfroster.Row{row}, true)
}

func (m *Members) learnLoss(now time.Time, loss bfgossip.Loss) {
	members, err := loss.Members()
	if err == nil && (loss.State == bfroster.Alive || loss.State > bfroster.Left) {
		err = &bfcodec.Error{What: "loss", Reason: &bfroster.RowError{Field: "state", Reason: "is not one of a loss"}}
	}
	if err != nil {
		m.do(Report{Err: err})
		return
	}
	for _, l := range members {
		m.learnLost(now, l, loss.State)
	}
}

// learnLost raises the state of the row that the teller held.
//
// A loss carries no target and no slots. A suspicion of a sequence not held
// here is left to repair, since it would make a present row that no node ever
// told; for members that are gone neither field has a meaning.
func (m *Members) learnLost(now time.Time, l bfgossip.LostMember, state bfroster.State) {
	row, found := m.table.Row(l.Hash)
	behind := !found || row.Incarnation < l.Incarnation
	if !state.Present() {
		behind = behind || row.Sequence > l.Sequence
	} else {
		behind = behind || row.Sequence != l.Sequence
	}
	if l.Hash != m.hash && (behind || row.Incarnation > l.Incarnation) {
		m.missed++
		return
	}
	row.Incarnation, row.Sequence, row.State = l.Incarnation, l.Sequence, state
	m.learnRows(now, []bfroster.Row{row}, true)
}

func (m *Members) fleet() int { return len(m.table.Sorted()) }

// spread is a time between 0 and d, so that nodes started together don't act together.
func (m *Members) spread(d time.Duration) time.Duration {
	return time.Duration(m.rand.Float64() * float64(d))
}

// exponential is a random wait of mean d, cut at 8 times the mean.
func (m *Members) exponential(d time.Duration) time.Duration {
	const longest = 8
	return time.Duration(math.Min(m.rand.ExpFloat64(), longest) * float64(d))
}
