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

// Members is one node's view of the fleet and its failure detector. It isn't safe
// for concurrent use, except for Order.
type Members struct {
	options  Options
	rand     *rand.Rand
	selfHash uint64
	table    *bfview.Table
	gossip   *bfgossip.Queue
	order    atomic.Pointer[bfroster.Order]
	advert   bfgossip.Advert
	// actions holds the actions that the call in progress will return.
	actions []Action
	// barred holds the rows of the message being handled whose incarnation was
	// dropped as dead here.
	barred []bfroster.Row
	// missed counts updates that did not match the row held; anti-entropy transfers
	// the current row later.
	missed  int
	changed bool

	lastCall      time.Time
	lastChange    time.Time
	detector      detector
	outages       outages
	join          join
	nextRepair    time.Time
	nextMeeting   time.Time
	nextSweep     time.Time
	nextReconnect time.Time
}

// New returns the membership of the node with the row self, whose incarnation is
// the node's start time in microseconds since 1970. It returns a bfroster.RowError
// if self is invalid.
func New(options Options, self bfroster.Row, rng *rand.Rand) (*Members, error) {
	if err := self.Validate(); err != nil {
		return nil, err
	}
	m := &Members{
		options: options, rand: rng, selfHash: bfroster.HashID(self.ID), table: bfview.NewTable(), gossip: bfgossip.NewQueue(),
		detector: newDetector(rng.Uint32()), outages: newOutages(),
	}
	m.order.Store(bfroster.NewOrder(nil))
	m.table.Merge(time.Time{}, self)
	m.gossip.Add(m.selfHash, true)
	m.publish()
	return m, nil
}

// Order returns the current view; it is safe for concurrent use.
func (m *Members) Order() *bfroster.Order { return m.order.Load() }

// Self returns the node's own row.
func (m *Members) Self() bfroster.Row {
	row, _ := m.table.Row(m.selfHash)
	return row
}

func (m *Members) selfRow() *bfroster.Row { return m.table.Member(m.selfHash).Row() }

// Row returns the row of a member, including dead members that are still held.
func (m *Members) Row(id string) (bfroster.Row, bool) {
	row, found := m.table.Row(bfroster.HashID(id))
	return row, found && row.ID == id
}

// Missed returns the number of updates that did not match the row held.
func (m *Members) Missed() int { return m.missed }

// Pending returns the number of changes that are still being gossiped.
func (m *Members) Pending() int { return m.gossip.Len() }

// SetAdvert sets the configuration version and digest that the node advertises.
func (m *Members) SetAdvert(version, digest uint64) {
	m.advert.Version, m.advert.Digest = version, digest
}

// Start starts the timers and the join; seeds are peer addresses from the settings.
func (m *Members) Start(now time.Time, seeds []string) []Action {
	m.begin(now)
	m.detector.nextProbe = now.Add(m.jitter(m.options.ProbeInterval))
	m.nextRepair = now.Add(m.exponentialDelay(m.options.RepairInterval))
	m.nextSweep = now.Add(m.jitter(sweepInterval))
	m.nextReconnect = now.Add(m.exponentialDelay(m.options.ReconnectInterval))
	m.nextMeeting = now.Add(m.meetingDelay())
	m.startJoin(now, seeds)
	return m.finish()
}

const sweepInterval = time.Minute

// Tick runs the timers that have expired; the next call is due at Next.
func (m *Members) Tick(now time.Time) []Action {
	m.begin(now)
	if m.Self().State == bfroster.Left {
		return m.finish()
	}
	m.tickDetector(now)
	m.tickJoin(now)
	if isDue(now, m.nextRepair) {
		m.nextRepair = now.Add(m.exponentialDelay(m.options.RepairInterval))
		m.startRepair()
	}
	if isDue(now, m.nextReconnect) {
		m.nextReconnect = now.Add(m.exponentialDelay(m.options.ReconnectInterval))
		m.probeDead()
	}
	if isDue(now, m.nextMeeting) {
		m.nextMeeting = now.Add(m.meetingDelay())
		m.emit(ReadMeeting{})
	}
	if isDue(now, m.nextSweep) {
		m.nextSweep = now.Add(sweepInterval)
		m.table.Sweep(now, m.options.retention())
	}
	return m.finish()
}

// Next returns the time at which the next call of Tick is due.
func (m *Members) Next() time.Time {
	next := m.detector.nextDeadline()
	for _, at := range []time.Time{m.join.due, m.nextRepair, m.nextReconnect, m.nextMeeting, m.nextSweep} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return next
}

func isDue(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// Receive handles a message; from is the source address of the sender's datagrams.
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

// SetTarget updates and gossips the state and the slots of the node's own target.
func (m *Members) SetTarget(now time.Time, target bfroster.TargetState, slots uint32) []Action {
	m.begin(now)
	self := m.Self()
	if self.State != bfroster.Left && (self.Target != target || self.Slots != slots) {
		self.Target, self.Slots = target, slots
		self.Sequence++
		m.updateSelf(now, self)
		if target == bfroster.TargetLeaving {
			m.probeNow()
		}
	}
	return m.finish()
}

// Leave gossips that the node has left the fleet; the node sends nothing afterwards.
func (m *Members) Leave(now time.Time) []Action {
	m.begin(now)
	self := m.Self()
	self.State = bfroster.Left
	m.updateSelf(now, self)
	m.probeNow()
	return m.finish()
}

func (m *Members) begin(now time.Time) {
	m.actions, m.barred = nil, nil
	if !m.lastCall.IsZero() && now.Sub(m.lastCall) > m.options.pauseThreshold() {
		m.resetAfterPause(now)
	}
	m.lastCall = now
}

func (m *Members) finish() []Action {
	if m.changed {
		m.publish()
	}
	return m.actions
}

func (m *Members) publish() {
	m.changed = false
	m.advert.Members = m.table.Digest()
	m.order.Store(m.table.NextOrder(m.order.Load()))
}

func (m *Members) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Members) send(address string, message bfgossip.Message) {
	m.emit(Send{Address: address, Message: message})
}

// applyRow merges a row that was received or that this node's failure detector produced.
func (m *Members) applyRow(now time.Time, row bfroster.Row, broadcast bool) {
	hash := bfroster.HashID(row.ID)
	if hash == m.selfHash && row.ID == m.Self().ID {
		m.refute(now, row)
		return
	}
	if m.suppressed(row) {
		return
	}
	result, old := m.table.Merge(now, row)
	switch result {
	case bfview.Stale:
	case bfview.Tombstoned:
		m.barred = append(m.barred, row)
	case bfview.HashCollision:
		m.emit(Report{Err: &bfview.CollisionError{Held: old.ID, Refused: row.ID}})
	case bfview.Accepted:
		m.accept(now, hash, old, row, broadcast)
	}
}

// accept handles a row that was merged into the table in place of old.
func (m *Members) accept(now time.Time, hash uint64, old, row bfroster.Row, broadcast bool) {
	m.changed, m.lastChange = true, now
	m.detector.trackSuspicion(now, hash, row, m.options.suspicionTimeout(m.memberCount()))
	if old.ID == "" {
		m.detector.addToRing(m.rand, hash)
	}
	if broadcast {
		m.gossip.Add(hash, old.Incarnation != row.Incarnation)
	}
	m.emit(Changed{Old: old, New: row})
	m.startOutageCheck(now, row)
}

// updateSelf replaces and gossips the node's own row; only the node itself changes it.
func (m *Members) updateSelf(now time.Time, self bfroster.Row) {
	_, old := m.table.Merge(now, self)
	m.accept(now, m.selfHash, old, self, true)
}

// DuplicateError reports a second process with this node's ID and another incarnation.
type DuplicateError struct{ ID, Peer, Other string }

// Error names the ID and both addresses.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("duplicate instance ID %q: in use at %s and at %s", e.ID, e.Peer, e.Other)
}

// refute raises the node's own row above a row that another node sent for it.
//
// To refute a suspicion, a higher sequence is enough. To refute a death, the node
// needs a new incarnation: other nodes may have dropped the row already, and
// reject the old incarnation.
func (m *Members) refute(now time.Time, received bfroster.Row) {
	self := m.Self()
	if self.State == bfroster.Left || received.Incarnation < self.Incarnation {
		return
	}
	same := received.Incarnation == self.Incarnation
	if !same && received.State.Present() {
		m.emit(Report{Err: &DuplicateError{ID: self.ID, Peer: self.Peer, Other: received.Peer}})
	}
	switch {
	case !same || !received.State.Present():
		self.Incarnation = max(uint64(now.UnixMicro()), received.Incarnation+1)
		self.Sequence = 0
	case bfroster.Compare(received, self) > 0:
		self.Sequence = received.Sequence + 1
	default:
		return
	}
	m.updateSelf(now, self)
	m.emit(Refuted{Received: received, Self: self})
}

// applyNews merges the updates piggybacked on a probe or an ack.
func (m *Members) applyNews(now time.Time, news bfgossip.News) {
	for _, outage := range news.Outages {
		m.applyOutage(now, outage)
	}
	m.applyRows(now, news.Rows, true)
	for _, mark := range news.Marks {
		m.applyMark(now, mark)
	}
	for _, loss := range news.Losses {
		m.applyLoss(now, loss)
	}
}

func (m *Members) applyRows(now time.Time, rows []bfroster.Row, broadcast bool) {
	for _, row := range rows {
		if err := row.Validate(); err != nil {
			m.emit(Report{Err: err})
			continue
		}
		m.applyRow(now, row, broadcast)
	}
}

// applyMark applies an update of an alive member. It is skipped if the held row is of an
// older incarnation, since a mark carries only some of the row's fields.
func (m *Members) applyMark(now time.Time, mark bfgossip.Mark) {
	row, found := m.table.Row(mark.Hash)
	if !found || row.Incarnation < mark.Incarnation {
		m.missed++
		return
	}
	if row.Incarnation > mark.Incarnation || mark.Sequence < row.Sequence {
		return
	}
	row.State, row.Sequence, row.Target, row.Slots = bfroster.Alive, mark.Sequence, mark.Target, mark.Slots
	m.applyRows(now, []bfroster.Row{row}, true)
}

func (m *Members) applyLoss(now time.Time, loss bfgossip.Loss) {
	members, err := loss.Members()
	if err == nil && (loss.State == bfroster.Alive || loss.State > bfroster.Left) {
		err = &bfcodec.Error{What: "loss", Reason: &bfroster.RowError{Field: "state", Reason: "is not valid in a loss"}}
	}
	if err != nil {
		m.emit(Report{Err: err})
		return
	}
	for _, lost := range members {
		m.applyLostMember(now, lost, loss.State)
	}
}

// applyLostMember sets the state of the held row of a member in a loss.
//
// A loss carries neither target state nor slots. A suspicion with a sequence that
// isn't held here is left to anti-entropy, since combining it with the held row
// would make a row that no node ever sent. For dead members and those that left,
// neither field has a meaning.
func (m *Members) applyLostMember(now time.Time, lost bfgossip.LostMember, state bfroster.State) {
	row, found := m.table.Row(lost.Hash)
	behind := !found || row.Incarnation < lost.Incarnation
	if !state.Present() {
		behind = behind || row.Sequence > lost.Sequence
	} else {
		behind = behind || row.Sequence != lost.Sequence
	}
	if lost.Hash != m.selfHash && (behind || row.Incarnation > lost.Incarnation) {
		m.missed++
		return
	}
	row.Incarnation, row.Sequence, row.State = lost.Incarnation, lost.Sequence, state
	m.applyRows(now, []bfroster.Row{row}, true)
}

func (m *Members) memberCount() int { return len(m.table.Sorted()) }

// jitter returns a random duration below d, so that the timers of nodes started together
// don't fire at the same time.
func (m *Members) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rand.Float64() * float64(d))
}

// exponentialDelay returns an exponentially distributed delay of mean d, at most 8 times the mean.
func (m *Members) exponentialDelay(d time.Duration) time.Duration {
	const longest = 8
	return time.Duration(math.Min(m.rand.ExpFloat64(), longest) * float64(d))
}
