package bfmember

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Members decides for one node who is in the fleet; it is for one goroutine at a time.
type Members struct {
	options Options
	rand    *rand.Rand
	hash    uint64
	table   *table
	gossip  *gossip
	order   atomic.Pointer[Order]
	advert  Advert
	// out collects the actions of the call in progress.
	out []Action
	// barred are the rows of the message in progress that a grave refused.
	barred []Row
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
func New(options Options, self Row, rng *rand.Rand) (*Members, error) {
	if err := self.check(); err != nil {
		return nil, err
	}
	m := &Members{
		options: options, rand: rng, hash: HashID(self.ID), table: newTable(), gossip: newGossip(),
		detector: newDetector(rng.Uint32()), outages: newOutages(),
	}
	m.order.Store(NewOrder(nil))
	m.table.merge(time.Time{}, self)
	m.gossip.add(m.hash, true)
	m.publish()
	return m, nil
}

// Order is the view now; it may be called from any goroutine.
func (m *Members) Order() *Order { return m.order.Load() }

// Self is the node's own row.
func (m *Members) Self() Row {
	row, _ := m.table.row(m.hash)
	return row
}

func (m *Members) self() *Row { return &m.table.entries[m.hash].member.row }

// Row is what is known of a member, dead ones included.
func (m *Members) Row(id string) (Row, bool) {
	row, found := m.table.row(HashID(id))
	return row, found && row.ID == id
}

// Missed counts news that did not fit the row held.
func (m *Members) Missed() int { return m.missed }

// Pending is how many changes wait to be told.
func (m *Members) Pending() int { return len(m.gossip.changes) }

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
	if m.Self().State == Left {
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
		m.table.sweep(now, m.options)
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
func (m *Members) Receive(now time.Time, from string, message Message) []Action {
	m.begin(now)
	switch message := message.(type) {
	case Probe:
		m.onProbe(now, from, message)
	case Ack:
		m.onAck(now, message)
	case ProbeRequest:
		m.onProbeRequest(now, from, message)
	case Summary:
		m.onSummary(now, message)
	case Detail:
		m.onDetail(now, message)
	case Repair:
		m.onRepair(now, message)
	case PageRequest:
		m.onPageRequest(now, message)
	case Page:
		m.onPage(now, message)
	}
	return m.finish()
}

// SetTarget tells a change of the node's own target.
func (m *Members) SetTarget(now time.Time, target TargetState, slots uint32) []Action {
	m.begin(now)
	self := m.Self()
	if self.State != Left && (self.Target != target || self.Slots != slots) {
		self.Target, self.Slots = target, slots
		self.Sequence++
		m.tellSelf(now, self)
		if target == TargetLeaving {
			m.spray()
		}
	}
	return m.finish()
}

// Leave tells that the node stops for good; it is the last thing the node says.
func (m *Members) Leave(now time.Time) []Action {
	m.begin(now)
	self := m.Self()
	self.State = Left
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
	m.advert.Members = m.table.total
	m.order.Store(m.order.Load().next(m.table))
	clear(m.table.touched)
	m.table.moved = false
}

func (m *Members) do(a Action) { m.out = append(m.out, a) }

func (m *Members) send(address string, message Message) {
	m.do(Send{Address: address, Message: message})
}

// learn takes a row that someone told, or that this node concluded.
func (m *Members) learn(now time.Time, row Row, tell bool) {
	hash := HashID(row.ID)
	if hash == m.hash && row.ID == m.Self().ID {
		m.refute(now, row)
		return
	}
	if m.shielded(row) {
		return
	}
	result, old := m.table.merge(now, row)
	switch result {
	case stale:
	case barred:
		m.barred = append(m.barred, row)
	case clashing:
		m.do(Report{Err: &CollisionError{Held: old.ID, Refused: row.ID}})
	case accepted:
		m.accept(now, hash, old, row, tell)
	}
}

func (m *Members) accept(now time.Time, hash uint64, old, row Row, tell bool) {
	m.changed, m.lastChange = true, now
	m.detector.track(now, hash, row, m.options.suspicion(m.fleet()))
	if old.ID == "" {
		m.detector.addToRing(m.rand, hash)
	}
	if tell {
		m.gossip.add(hash, old.Incarnation != row.Incarnation)
	}
	m.do(Changed{Old: old, New: row})
	m.weigh(now, row)
}

// tellSelf changes the node's own row, which nobody else does.
func (m *Members) tellSelf(now time.Time, self Row) {
	_, old := m.table.merge(now, self)
	m.accept(now, m.hash, old, self, true)
}

// refute outdoes what others say of this node.
//
// A suspicion needs a higher sequence only. A death needs a new incarnation:
// others may have dropped the row by then, and their graves bar the old one.
func (m *Members) refute(now time.Time, told Row) {
	self := m.Self()
	if self.State == Left || told.Incarnation < self.Incarnation {
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
	case Compare(told, self) > 0:
		self.Sequence = told.Sequence + 1
	default:
		return
	}
	m.tellSelf(now, self)
	m.do(Refuted{Told: told, Self: self})
}

// learnNews takes what rode on a probe or ack.
func (m *Members) learnNews(now time.Time, news News) {
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

func (m *Members) learnRows(now time.Time, rows []Row, tell bool) {
	for _, row := range rows {
		if err := row.check(); err != nil {
			m.do(Report{Err: err})
			continue
		}
		m.learn(now, row, tell)
	}
}

func (m *Members) learnMark(now time.Time, mark Mark) {
	row, found := m.table.row(mark.Hash)
	if !found || row.Incarnation < mark.Incarnation {
		m.missed++
		return
	}
	if row.Incarnation > mark.Incarnation || mark.Sequence < row.Sequence {
		return
	}
	row.State, row.Sequence, row.Target, row.Slots = Alive, mark.Sequence, mark.Target, mark.Slots
	m.learnRows(now, []Row{row}, true)
}

func (m *Members) learnLoss(now time.Time, loss Loss) {
	members, err := loss.members()
	if err == nil && (loss.State == Alive || loss.State > Left) {
		err = &CodecError{What: "loss", Reason: &RowError{Field: "state", Reason: "is not one of a loss"}}
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
func (m *Members) learnLost(now time.Time, l lost, state State) {
	row, found := m.table.row(l.hash)
	behind := !found || row.Incarnation < l.incarnation
	if !state.Present() {
		behind = behind || row.Sequence > l.sequence
	} else {
		behind = behind || row.Sequence != l.sequence
	}
	if l.hash != m.hash && (behind || row.Incarnation > l.incarnation) {
		m.missed++
		return
	}
	row.Incarnation, row.Sequence, row.State = l.incarnation, l.sequence, state
	m.learnRows(now, []Row{row}, true)
}

func (m *Members) fleet() int { return len(m.table.sorted) }

// spread is a time between 0 and d, so that nodes started together don't act together.
func (m *Members) spread(d time.Duration) time.Duration {
	return time.Duration(m.rand.Float64() * float64(d))
}

// exponential is a random wait of mean d, cut at 8 times the mean.
func (m *Members) exponential(d time.Duration) time.Duration {
	const longest = 8
	return time.Duration(math.Min(m.rand.ExpFloat64(), longest) * float64(d))
}
