package bfspread

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// Spreader distributes versions on behalf of one node. It isn't safe for concurrent use.
type Spreader struct {
	options Options
	rand    *rand.Rand
	key     bfroster.Key
	order   *bfroster.Order
	state   *bfconfig.State
	log     deltaLog
	// buffered holds deltas that arrived out of order.
	buffered map[bfconfig.Version][]byte
	// covered holds, for recent versions, the spans to which this node has forwarded them.
	covered   map[bfconfig.Version][]bfspan.Span
	nonce     uint32
	origin    originQueue
	pushes    map[uint32]*pendingPush
	pull      pullState
	rejection rejection
	snapshots snapshotServer
	poll      poll
	counter   *bfcount.Counter
	out       []Action
}

// New returns the Spreader of the node with the row self, which starts from state.
func New(options Options, self bfroster.Row, state *bfconfig.State, rng *rand.Rand) *Spreader {
	s := &Spreader{
		options: options, rand: rng, key: self.Key(), state: state,
		order: bfroster.NewOrder([]bfroster.Row{self}), nonce: rng.Uint32(),
		buffered: map[bfconfig.Version][]byte{}, covered: map[bfconfig.Version][]bfspan.Span{},
		pushes: map[uint32]*pendingPush{}, poll: poll{slowdown: 1},
	}
	s.counter = bfcount.New(s.key, state.Version(), censusFleet{s})
	return s
}

// State returns the state of the newest version held.
func (s *Spreader) State() *bfconfig.State { return s.state }

// Held returns the newest version held, which may not be in force yet.
func (s *Spreader) Held() bfconfig.Version { return s.state.Version() }

// Head returns the newest version held and its digest.
func (s *Spreader) Head() Head { return HeadOf(s.state) }

// HeadOf returns a state's version and the first 8 bytes of its digest.
func HeadOf(state *bfconfig.State) Head {
	digest := state.Digest()
	return Head{Version: state.Version(), Digest: binary.BigEndian.Uint64(digest[:])}
}

// SetOrder sets the view of the members.
func (s *Spreader) SetOrder(order *bfroster.Order) { s.order = order }

// Start starts polling the head; call it after the node has joined and SetOrder was called.
func (s *Spreader) Start(now time.Time) []Action {
	s.begin()
	s.resetPoll(now)
	return s.out
}

// Tick runs the timers that have expired; the next call is due at Next.
func (s *Spreader) Tick(now time.Time) []Action {
	s.begin()
	s.tickOrigin(now)
	s.tickPushes(now)
	s.tickPull(now)
	s.tickRejection(now)
	s.tickPoll(now)
	s.doCounterActions(s.counter.Tick(now))
	return s.out
}

// Next returns the time at which the next call of Tick is due.
func (s *Spreader) Next() time.Time {
	next := s.poll.due
	earlier := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	earlier(s.origin.due)
	earlier(s.pull.due)
	earlier(s.rejection.due)
	for _, p := range s.pushes {
		earlier(p.deadline)
	}
	earlier(s.counter.Next())
	return next
}

func isDue(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// Receive handles a message from the member whose ID has the hash from.
func (s *Spreader) Receive(now time.Time, from uint64, message Message) []Action {
	s.begin()
	switch message := message.(type) {
	case Push:
		s.onPush(now, message)
	case Ack:
		s.onAck(now, from, message)
	case Pull:
		s.onPull(now, message)
	case Deltas:
		s.onDeltas(now, from, message)
	case Snapshot:
		s.onSnapshot(now, message)
	case Busy:
		s.onBusy(now, from, message)
	case Census:
		s.doCounterActions(s.counter.HandleQuery(now, bfcount.Query(message)))
	case CensusAnswer:
		s.doCounterActions(s.counter.HandleResponse(bfcount.Response(message)))
	}
	return s.out
}

func (s *Spreader) begin() { s.out = nil }

func (s *Spreader) emit(a Action) { s.out = append(s.out, a) }

// send sends to a member by its hash; if the member isn't in the view, the message
// goes to the source address of the message it answers.
func (s *Spreader) send(to uint64, message Message) {
	rank, found := s.order.RankByHash(to)
	if !found {
		s.emit(Send{To: to, Message: message})
		return
	}
	s.emit(sendTo(s.order.At(rank), message))
}

func (s *Spreader) newNonce() uint32 {
	if s.nonce++; s.nonce == 0 {
		s.nonce++
	}
	return s.nonce
}

// jitter returns a random duration between base and base+width.
func (s *Spreader) jitter(base, width time.Duration) time.Duration {
	return base + time.Duration(s.rand.Float64()*float64(width))
}

// receiveDelta buffers one delta and applies all that are now in order.
func (s *Spreader) receiveDelta(now time.Time, delta bfconfig.Delta, data []byte) {
	version := delta.Version()
	if version <= s.state.Version() || s.isRejected(version, data) {
		return
	}
	s.buffer(version, data)
	s.applyBuffered(now)
}

// buffer keeps a delta until its predecessors have arrived, and evicts the newest
// version if the buffer is full.
//
// Messages are reordered and lost, so version 43 may arrive before 42. Applied at
// once it would skip 42; dropped it would have to be pulled again.
func (s *Spreader) buffer(version bfconfig.Version, data []byte) {
	s.buffered[version] = data
	if len(s.buffered) > s.options.BufferVersions {
		delete(s.buffered, slices.Max(slices.Collect(maps.Keys(s.buffered))))
	}
}

func (s *Spreader) applyBuffered(now time.Time) {
	for {
		version := s.state.Version() + 1
		data, found := s.buffered[version]
		if !found {
			return
		}
		delete(s.buffered, version)
		delta, err := bfconfig.DecodeDelta(data)
		if err != nil {
			s.reject(now, version, data, err)
			return
		}
		next, err := s.state.Apply(delta)
		if err != nil {
			s.reject(now, version, data, err)
			return
		}
		s.log.add(version, data, s.options)
		s.adopt(now, next)
	}
}

// BackwardError reports an attempt to replace the held version by an older one.
type BackwardError struct{ Held, Offered bfconfig.Version }

// Error names both versions.
func (e *BackwardError) Error() string {
	return fmt.Sprintf("offered version %d is older than the held version %d", e.Offered, e.Held)
}

// adopt is the only place where the node's version changes; the version never decreases.
func (s *Spreader) adopt(now time.Time, next *bfconfig.State) {
	if next.Version() < s.state.Version() {
		s.emit(Report{Err: &BackwardError{Held: s.state.Version(), Offered: next.Version()}})
		return
	}
	s.state = next
	maps.DeleteFunc(s.buffered, func(v bfconfig.Version, _ []byte) bool { return v <= next.Version() })
	const keepCovered = 64
	maps.DeleteFunc(s.covered, func(v bfconfig.Version, _ []bfspan.Span) bool { return v+keepCovered < next.Version() })
	s.rejection.adopted(next.Version())
	s.pull.adopted(next.Version())
	s.resetPoll(now)
	s.emit(Adopt{State: next})
}

// deltaLog holds consecutive encoded deltas up to the newest version, to answer pulls.
type deltaLog struct {
	first  bfconfig.Version
	deltas [][]byte
	bytes  int
}

func (l *deltaLog) add(version bfconfig.Version, data []byte, o Options) {
	if version != l.first+bfconfig.Version(len(l.deltas)) {
		*l = deltaLog{first: version}
	}
	l.deltas = append(l.deltas, data)
	l.bytes += len(data)
	for len(l.deltas) > o.LogVersions || l.bytes > o.LogBytes && len(l.deltas) > 1 {
		l.bytes -= len(l.deltas[0])
		l.deltas = l.deltas[1:]
		l.first++
	}
}

// after returns the deltas after held up to head; false if the log doesn't reach back to held.
func (l *deltaLog) after(held, head bfconfig.Version) ([][]byte, bool) {
	end := l.first + bfconfig.Version(len(l.deltas))
	if end != head+1 || held+1 < l.first || held > head {
		return nil, false
	}
	return l.deltas[held+1-l.first:], true
}
