package bfspread

import (
	"math"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// poll schedules the reads of the table's head.
type poll struct {
	due time.Time
	// slowdown multiplies the mean interval while the table is unavailable.
	slowdown float64
}

const (
	maxSlowdown = 8
	// maxOrphans is the maximum number of missing versions that a node treats as
	// orphaned. A node that lacks more has probably just restarted; the member it
	// asked may have restarted too, and the node would then push the whole history
	// to the fleet.
	maxOrphans = 16
)

// resetPoll schedules the next read.
//
// The delay is exponentially distributed with a mean that grows with the fleet,
// so the table gets PollRate reads per second from random nodes whatever the
// fleet's size, and nodes that start together don't read together.
func (s *Spreader) resetPoll(now time.Time) {
	const longest = 8
	mean := float64(max(1, s.options.MinFleetSize, s.order.Alive())) / s.options.PollRate * s.poll.slowdown
	wait := time.Duration(math.Min(s.rand.ExpFloat64(), longest) * mean * float64(time.Second))
	s.poll.due = now.Add(max(wait, s.options.MinPollInterval))
}

func (s *Spreader) tickPoll(now time.Time) {
	if isDue(now, s.poll.due) {
		s.resetPoll(now)
		s.emit(ReadHead{})
	}
}

// HeadRead handles the result of ReadHead.
func (s *Spreader) HeadRead(now time.Time, version bfconfig.Version, err error) []Action {
	s.begin()
	if err != nil {
		s.poll.slowdown = min(2*s.poll.slowdown, maxSlowdown)
		s.resetPoll(now)
		return s.out
	}
	s.poll.slowdown = 1
	if held := s.state.Version(); version > held {
		s.pull.discovered = s.pull.discovered || version > s.pull.wanted.Version && version-held <= maxOrphans
		s.schedulePull(now, Head{Version: version}, 0)
	}
	return s.out
}

// StoreDeltas handles the result of FetchDeltas.
//
// A version is orphaned if the node that committed it crashed before its first
// push. The node that finds it in the table pushes it to the fleet. A member was
// asked for it first, so that a node that merely lags behind doesn't push.
func (s *Spreader) StoreDeltas(now time.Time, encoded [][]byte, err error) []Action {
	s.begin()
	if !s.pull.fetching {
		return s.out
	}
	s.pull.fetching = false
	orphaned := s.pull.discovered
	before := s.state.Version()
	if err == nil {
		s.receiveDeltas(now, encoded)
	}
	if orphaned {
		s.originateOrphans(now, encoded, before)
	}
	s.continuePull(now, before)
	return s.out
}

func (s *Spreader) originateOrphans(now time.Time, encoded [][]byte, before bfconfig.Version) {
	for _, data := range encoded {
		delta, err := bfconfig.DecodeDelta(data)
		if err == nil && delta.Version() > before && delta.Version() <= s.state.Version() {
			s.originate(now, data)
		}
	}
}
