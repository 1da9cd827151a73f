package bfspread

import (
	"math"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// poll is when the node reads the table's head.
type poll struct {
	due time.Time
	// slowdown stretches the waits while the table is away.
	slowdown float64
}

const (
	maxSlowdown = 8
	// maxOrphans is how many versions a node may find that nobody told of. One
	// that lacks more was away itself: in a herd that returns, the member it
	// asked may lack them too, and it would push the history to the whole fleet.
	maxOrphans = 16
)

// resetPoll draws the next read.
//
// The wait is exponential with a mean that grows with the fleet, so the table
// sees PollRate reads a second whatever the fleet's size, from no node in
// particular, and a herd that starts at once does not read at once.
func (s *Spreader) resetPoll(now time.Time) {
	const longest = 8
	mean := float64(max(1, s.options.MinFleet, s.order.Alive())) / s.options.PollRate * s.poll.slowdown
	wait := time.Duration(math.Min(s.rand.ExpFloat64(), longest) * mean * float64(time.Second))
	s.poll.due = now.Add(max(wait, s.options.MinPoll))
}

func (s *Spreader) tickPoll(now time.Time) {
	if due(now, s.poll.due) {
		s.resetPoll(now)
		s.do(ReadHead{})
	}
}

// HeadRead takes the answer to ReadHead.
func (s *Spreader) HeadRead(now time.Time, version bfconfig.Version, err error) []Action {
	s.begin()
	if err != nil {
		s.poll.slowdown = min(2*s.poll.slowdown, maxSlowdown)
		s.resetPoll(now)
		return s.out
	}
	s.poll.slowdown = 1
	if held := s.state.Version(); version > held {
		s.pull.discovered = s.pull.discovered || version > s.pull.want.Version && version-held <= maxOrphans
		s.expect(now, Head{Version: version}, 0)
	}
	return s.out
}

// StoreDeltas takes the answer to FetchDeltas.
//
// Versions that only the table knew of were pushed by nobody: their author died
// between its commit and its first push. Whoever finds them covers the fleet.
// A member was asked before, so a node that was merely behind tells nobody.
func (s *Spreader) StoreDeltas(now time.Time, encoded [][]byte, err error) []Action {
	s.begin()
	if !s.pull.atStore {
		return s.out
	}
	s.pull.atStore = false
	orphaned := s.pull.discovered
	before := s.state.Version()
	if err == nil {
		s.offerAll(now, encoded)
	}
	if orphaned {
		s.adoptOrphans(now, encoded, before)
	}
	s.pulled(now, before)
	return s.out
}

func (s *Spreader) adoptOrphans(now time.Time, encoded [][]byte, before bfconfig.Version) {
	for _, data := range encoded {
		delta, err := bfconfig.DecodeDelta(data)
		if err == nil && delta.Version() > before && delta.Version() <= s.state.Version() {
			s.originate(now, data)
		}
	}
}
