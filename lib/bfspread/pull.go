package bfspread

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// pulling is the one pull that a node has, waiting or outstanding.
type pulling struct {
	want Head
	// tellers are members that hold what is wanted, the latest last.
	tellers []uint64
	due     time.Time
	// nonce is not 0 while an answer is outstanding; due is then its deadline.
	nonce uint32
	tries int
	wait  time.Duration
	// discovered is set when the head came from the table and not from a member.
	discovered bool
	atStore    bool
}

const (
	maxTellers = 8
	// peerTries is how many members are asked before the store.
	peerTries = 3
)

// adopted ends the pull when what it was for is held.
func (p *pulling) adopted(version bfconfig.Version) {
	if version >= p.want.Version {
		*p = pulling{}
	}
}

// Heard takes what a member advertised on a probe or an ack.
func (s *Spreader) Heard(now time.Time, from uint64, head Head) []Action {
	s.begin()
	s.hear(now, from, head)
	return s.out
}

func (s *Spreader) hear(now time.Time, from uint64, head Head) {
	held := s.Head()
	switch {
	case head.Version > held.Version:
		s.resetPoll(now)
		s.expect(now, head, from)
	case head.Version == held.Version && head.Digest != 0 && head.Digest != held.Digest:
		s.disagree(now, held.Version)
	}
}

// expect schedules a pull after a random grace, since a push is probably under way.
func (s *Spreader) expect(now time.Time, head Head, teller uint64) {
	if head.Version > s.pull.want.Version {
		s.pull.want = head
	}
	if teller != 0 && !slices.Contains(s.pull.tellers, teller) {
		s.pull.tellers = append(s.pull.tellers, teller)
		s.pull.tellers = s.pull.tellers[max(0, len(s.pull.tellers)-maxTellers):]
	}
	if s.pull.due.IsZero() {
		s.pull.due = now.Add(s.jitter(s.options.Grace, s.options.GraceSpread))
	}
}

func (s *Spreader) tickPull(now time.Time) {
	if !due(now, s.pull.due) {
		return
	}
	if s.pull.nonce != 0 || s.pull.atStore {
		// The answer did not come.
		s.retryPull(now)
		return
	}
	s.startPull(now)
}

func (s *Spreader) startPull(now time.Time) {
	if s.refusal.version == s.state.Version()+1 && s.refusal.pending(now) {
		// The version after the held one can't be applied. Pulled again it would
		// fail again, in a loop of whole messages; the refusal's own waits decide.
		s.pull.due = s.refusal.due
		return
	}
	s.pull.due = now.Add(s.options.PullTimeout)
	source, found := s.source()
	if !found {
		s.pull.atStore = true
		s.do(FetchDeltas{After: s.state.Version()})
		return
	}
	s.pull.nonce = s.newNonce()
	s.send(source, Pull{From: s.key.Hash, Nonce: s.pull.nonce, Held: s.state.Version()})
}

// source draws whom to ask: a member that told of the version, then any, then the store.
func (s *Spreader) source() (uint64, bool) {
	if s.pull.tries%(peerTries+1) >= s.peerTries() {
		return 0, false
	}
	if n := len(s.pull.tellers); n > 0 {
		// The latest teller first; each is asked once, so a herd that heard of
		// one version from one node does not stay with it.
		teller := s.pull.tellers[n-1]
		s.pull.tellers = s.pull.tellers[:n-1]
		if _, known := s.order.RankOf(teller); known {
			return teller, true
		}
	}
	return s.anyPeer()
}

// peerTries is smaller for a head that only the table told of: one member is
// asked, to see whether others have the version.
func (s *Spreader) peerTries() int {
	if s.pull.discovered {
		return 1
	}
	return peerTries
}

func (s *Spreader) anyPeer() (uint64, bool) {
	const draws = 8
	if s.order.Len() < 2 {
		return 0, false
	}
	for range draws {
		member := s.order.At(s.rand.IntN(s.order.Len()))
		if member.Alive() && member.Key() != s.key {
			return member.Key().Hash, true
		}
	}
	return 0, false
}

// retryPull asks another source after a growing wait.
func (s *Spreader) retryPull(now time.Time) {
	s.pull.nonce, s.pull.atStore = 0, false
	s.pull.tries++
	if s.pull.tries%(peerTries+1) == 0 {
		s.pull.discovered = false
		s.pull.wait = min(max(2*s.pull.wait, s.options.Backoff), s.options.MaxBackoff)
	}
	if s.pull.discovered && s.pull.tries%(peerTries+1) == 1 {
		s.startPull(now)
		return
	}
	wait := max(s.pull.wait, s.options.Backoff/4)
	s.pull.due = now.Add(s.jitter(wait, wait))
}

func (s *Spreader) onDeltas(now time.Time, from uint64, answer Deltas) {
	if s.pull.nonce == 0 || answer.Nonce != s.pull.nonce {
		return
	}
	s.pull.nonce = 0
	before := s.state.Version()
	s.offerAll(now, answer.Deltas)
	s.hear(now, from, answer.Head)
	s.pulled(now, before)
}

func (s *Spreader) offerAll(now time.Time, encoded [][]byte) {
	_, deltas, err := readBatch(encoded)
	if err != nil {
		if len(encoded) > 0 {
			s.do(Report{Err: err})
		}
		return
	}
	for i, delta := range deltas {
		s.offer(now, delta, encoded[i])
	}
}

// pulled goes on at once while there is progress, and to another source where there is none.
func (s *Spreader) pulled(now time.Time, before bfconfig.Version) {
	switch {
	case s.pull.want.Version <= s.state.Version():
		s.pull = pulling{}
	case s.state.Version() > before:
		s.pull.tries, s.pull.wait = 0, 0
		s.startPull(now)
	default:
		s.retryPull(now)
	}
}

func (s *Spreader) onBusy(now time.Time, from uint64, busy Busy) {
	if s.refusal.nonce != 0 && busy.Nonce == s.refusal.nonce {
		s.refusal.nonce = 0
		return
	}
	if s.pull.nonce == 0 || busy.Nonce != s.pull.nonce {
		return
	}
	// A busy member is no failure: counted as one it would send the whole herd
	// on to the store. Another may be free, so the wait starts short and grows to
	// what the busy one asked for; then it comes before members drawn by chance,
	// who may be of the herd themselves.
	s.pull.nonce = 0
	if len(s.pull.tellers) < maxTellers {
		s.pull.tellers = slices.Insert(s.pull.tellers, 0, from)
	}
	asked := time.Duration(busy.RetryAfter) * time.Millisecond
	s.pull.wait = min(max(2*s.pull.wait, s.options.Backoff/2), max(asked, s.options.Backoff/2), s.options.MaxBackoff)
	s.pull.due = now.Add(s.jitter(s.pull.wait, s.pull.wait))
}

func (s *Spreader) onSnapshot(now time.Time, answer Snapshot) {
	repairing := s.refusal.nonce != 0 && answer.Nonce == s.refusal.nonce
	pulling := s.pull.nonce != 0 && answer.Nonce == s.pull.nonce
	if !repairing && !pulling {
		return
	}
	if repairing {
		s.refusal.nonce = 0
	}
	if pulling {
		s.pull.nonce = 0
	}
	before := s.state.Version()
	s.restore(now, answer.Version, answer.Data, false)
	if pulling {
		s.pulled(now, before)
	}
}

// restore adopts a snapshot whole, or nothing of it.
func (s *Spreader) restore(now time.Time, version bfconfig.Version, data []byte, fromStore bool) {
	held := s.Head()
	if version < held.Version || version == held.Version && !fromStore {
		return
	}
	state, err := bfconfig.Restore(data, version)
	if err != nil {
		s.do(RefuseVersion{Version: version, Err: err})
		return
	}
	if HeadOf(state) == held {
		s.refusal.verified = version
		return
	}
	s.log = deltaLog{}
	s.adopt(now, state)
	s.applyEarly(now)
}

// giver is what a node gives to others.
type giver struct {
	snapshot []byte
	version  bfconfig.Version
	tokens   float64
	refilled time.Time
}

func (s *Spreader) onPull(now time.Time, pull Pull) {
	head := s.Head()
	if pull.Held >= head.Version {
		s.send(pull.From, Deltas{Nonce: pull.Nonce, Head: head})
		return
	}
	deltas, found := s.log.after(pull.Held, head.Version)
	if found && !pull.Snapshot {
		s.send(pull.From, Deltas{Nonce: pull.Nonce, Deltas: s.firstBytes(deltas), Head: head})
		return
	}
	s.give(now, pull)
}

// firstBytes bounds one answer; the puller asks again for the rest.
func (s *Spreader) firstBytes(deltas [][]byte) [][]byte {
	size := 0
	for i, data := range deltas {
		if size += len(data); size > s.options.MessageBytes && i > 0 {
			return deltas[:i]
		}
	}
	return deltas
}

// give sends a snapshot unless too many were given of late.
//
// A herd that returns pulls a whole state each; without the cap the first few
// nodes it meets would spend their control budget of hours on it.
func (s *Spreader) give(now time.Time, pull Pull) {
	rate := s.options.SnapshotRate
	g := &s.giver
	g.tokens = min(max(1, rate), g.tokens+rate*now.Sub(g.refilled).Seconds())
	g.refilled = now
	if g.tokens < 1 {
		wait := s.jitter(0, 2*time.Duration(float64(time.Second)/rate))
		s.send(pull.From, Busy{Nonce: pull.Nonce, RetryAfter: uint32(wait.Milliseconds())})
		return
	}
	if g.version != s.state.Version() || g.snapshot == nil {
		data, err := s.state.EncodeSnapshot()
		if err != nil {
			s.do(Report{Err: err})
			return
		}
		g.snapshot, g.version = data, s.state.Version()
	}
	g.tokens--
	s.send(pull.From, Snapshot{Nonce: pull.Nonce, Version: g.version, Data: g.snapshot})
}
