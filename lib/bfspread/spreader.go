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

// Spreader decides for one node how versions travel; it is for one goroutine at a time.
type Spreader struct {
	options Options
	rand    *rand.Rand
	key     bfroster.Key
	order   *bfroster.Order
	state   *bfconfig.State
	log     deltaLog
	// early holds deltas that came before their turn.
	early map[bfconfig.Version][]byte
	// covered holds, for recent versions, the spans this node has handed on.
	covered map[bfconfig.Version][]bfspan.Span
	nonce   uint32
	origin  origin
	pushes  map[uint32]*pushing
	pull    pulling
	refusal refusal
	giver   giver
	poll    poll
	counter *bfcount.Counter
	out     []Action
}

// New makes the core of the node with the row self, which starts from state.
func New(options Options, self bfroster.Row, state *bfconfig.State, rng *rand.Rand) *Spreader {
	s := &Spreader{
		options: options, rand: rng, key: self.Key(), state: state,
		order: bfroster.NewOrder([]bfroster.Row{self}), nonce: rng.Uint32(),
		early: map[bfconfig.Version][]byte{}, covered: map[bfconfig.Version][]bfspan.Span{},
		pushes: map[uint32]*pushing{}, poll: poll{slowdown: 1},
	}
	s.counter = bfcount.New(s.key, state.Version(), relays{s})
	return s
}

// State is the newest version held.
func (s *Spreader) State() *bfconfig.State { return s.state }

// Held is the newest version held, which may not be in force yet.
func (s *Spreader) Held() bfconfig.Version { return s.state.Version() }

// Head is the newest version held and its digest.
func (s *Spreader) Head() Head { return HeadOf(s.state) }

// HeadOf is a state's version and the first bytes of its digest.
func HeadOf(state *bfconfig.State) Head {
	digest := state.Digest()
	return Head{Version: state.Version(), Digest: binary.BigEndian.Uint64(digest[:])}
}

// SetOrder takes the newest view of the members.
func (s *Spreader) SetOrder(order *bfroster.Order) { s.order = order }

// Start begins to poll the head; it is for a node that has joined and was given its Order.
func (s *Spreader) Start(now time.Time) []Action {
	s.begin()
	s.resetPoll(now)
	return s.out
}

// Tick does what is due; the next call is due at Next.
func (s *Spreader) Tick(now time.Time) []Action {
	s.begin()
	s.tickOrigin(now)
	s.tickPushes(now)
	s.tickPull(now)
	s.tickRefusal(now)
	s.tickPoll(now)
	s.count(s.counter.Tick(now))
	return s.out
}

// Next is when Tick has something to do.
func (s *Spreader) Next() time.Time {
	next := s.poll.due
	earlier := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	earlier(s.origin.due)
	earlier(s.pull.due)
	earlier(s.refusal.due)
	for _, p := range s.pushes {
		earlier(p.deadline)
	}
	earlier(s.counter.Next())
	return next
}

func due(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// Receive takes a message of the member whose ID hashes to from.
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
		s.count(s.counter.Asked(now, bfcount.Question(message)))
	case CensusAnswer:
		s.count(s.counter.Answered(bfcount.Answer(message)))
	}
	return s.out
}

func (s *Spreader) begin() { s.out = nil }

func (s *Spreader) do(a Action) { s.out = append(s.out, a) }

// send answers a member by its hash; one not in the view is answered where its message came from.
func (s *Spreader) send(to uint64, message Message) {
	rank, found := s.order.RankOf(to)
	if !found {
		s.do(Send{To: to, Message: message})
		return
	}
	s.do(sendTo(s.order.At(rank), message))
}

func (s *Spreader) newNonce() uint32 {
	if s.nonce++; s.nonce == 0 {
		s.nonce++
	}
	return s.nonce
}

// jitter is a random time between base and base+width.
func (s *Spreader) jitter(base, width time.Duration) time.Duration {
	return base + time.Duration(s.rand.Float64()*float64(width))
}

// offer takes one delta from anywhere and applies what is now in turn.
func (s *Spreader) offer(now time.Time, delta bfconfig.Delta, data []byte) {
	version := delta.Version()
	if version <= s.state.Version() || s.refuses(version, data) {
		return
	}
	s.keepEarly(version, data)
	s.applyEarly(now)
}

// keepEarly holds a delta until its turn; the farthest one gives way.
//
// Versions cross on the way and bodies get lost, so 43 may come before 42. It
// waits here: applied at once it would be a version in part, thrown away it
// would have to be pulled again.
func (s *Spreader) keepEarly(version bfconfig.Version, data []byte) {
	s.early[version] = data
	if len(s.early) > s.options.BufferVersions {
		delete(s.early, slices.Max(slices.Collect(maps.Keys(s.early))))
	}
}

func (s *Spreader) applyEarly(now time.Time) {
	for {
		version := s.state.Version() + 1
		data, found := s.early[version]
		if !found {
			return
		}
		delete(s.early, version)
		delta, err := bfconfig.DecodeDelta(data)
		if err != nil {
			s.refuse(now, version, data, err)
			return
		}
		next, err := s.state.Apply(delta)
		if err != nil {
			s.refuse(now, version, data, err)
			return
		}
		s.log.add(version, data, s.options)
		s.adopt(now, next)
	}
}

// BackwardError reports an attempt to go back to an older version.
type BackwardError struct{ Held, Offered bfconfig.Version }

// Error names both versions.
func (e *BackwardError) Error() string {
	return fmt.Sprintf("version %d offered in place of %d", e.Offered, e.Held)
}

// adopt is the one place where the node's version changes; it never falls.
func (s *Spreader) adopt(now time.Time, next *bfconfig.State) {
	if next.Version() < s.state.Version() {
		s.do(Report{Err: &BackwardError{Held: s.state.Version(), Offered: next.Version()}})
		return
	}
	s.state = next
	maps.DeleteFunc(s.early, func(v bfconfig.Version, _ []byte) bool { return v <= next.Version() })
	const keepCovered = 64
	maps.DeleteFunc(s.covered, func(v bfconfig.Version, _ []bfspan.Span) bool { return v+keepCovered < next.Version() })
	s.refusal.adopted(next.Version())
	s.pull.adopted(next.Version())
	s.resetPoll(now)
	s.do(Adopt{State: next})
}

// deltaLog keeps consecutive encoded deltas that end at the newest version.
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

// after lists the deltas from the one after held to the newest; false where held is too far behind.
func (l *deltaLog) after(held, head bfconfig.Version) ([][]byte, bool) {
	end := l.first + bfconfig.Version(len(l.deltas))
	if end != head+1 || held+1 < l.first || held > head {
		return nil, false
	}
	return l.deltas[held+1-l.first:], true
}
