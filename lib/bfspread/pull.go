package bfspread

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// pullState is the state of the node's only pull, scheduled or outstanding.
type pullState struct {
	wanted Head
	// sources lists members that advertised the wanted version, the latest last.
	sources []uint64
	due     time.Time
	// nonce is not 0 while an answer is outstanding; due is then its deadline.
	nonce    uint32
	attempts int
	backoff  time.Duration
	// discovered is set if the wanted version was read from the table and not
	// advertised by a member.
	discovered bool
	// fetching is set while an answer from the store is outstanding.
	fetching bool
}

const (
	maxSources = 8
	// maxPeerAttempts is the maximum number of members asked before the store.
	maxPeerAttempts = 3
)

// adopted ends the pull once the wanted version is held.
func (p *pullState) adopted(version bfconfig.Version) {
	if version >= p.wanted.Version {
		*p = pullState{}
	}
}

// HeadAdvertised handles the head that a member advertised on a probe or an ack.
func (s *Spreader) HeadAdvertised(now time.Time, from uint64, head Head) []Action {
	s.begin()
	s.onHead(now, from, head)
	return s.out
}

func (s *Spreader) onHead(now time.Time, from uint64, head Head) {
	held := s.Head()
	switch {
	case head.Version > held.Version:
		s.resetPoll(now)
		s.schedulePull(now, head, from)
	case head.Version == held.Version && head.Digest != 0 && head.Digest != held.Digest:
		s.onDigestMismatch(now, held.Version)
	}
}

// schedulePull schedules a pull after a random delay, since a push is probably in transit.
func (s *Spreader) schedulePull(now time.Time, head Head, source uint64) {
	if head.Version > s.pull.wanted.Version {
		s.pull.wanted = head
	}
	if source != 0 && !slices.Contains(s.pull.sources, source) {
		s.pull.sources = append(s.pull.sources, source)
		s.pull.sources = s.pull.sources[max(0, len(s.pull.sources)-maxSources):]
	}
	if s.pull.due.IsZero() {
		s.pull.due = now.Add(s.jitter(s.options.PullDelay, s.options.PullDelayJitter))
	}
}

func (s *Spreader) tickPull(now time.Time) {
	if !isDue(now, s.pull.due) {
		return
	}
	if s.pull.nonce != 0 || s.pull.fetching {
		// The pull timed out.
		s.retryPull(now)
		return
	}
	s.startPull(now)
}

func (s *Spreader) startPull(now time.Time) {
	if s.rejection.version == s.state.Version()+1 && s.rejection.pending(now) {
		// The next version can't be applied. Pulling it again would fail again, in
		// a loop without delay, so the pull waits for the backoff of the rejection.
		s.pull.due = s.rejection.due
		return
	}
	s.pull.due = now.Add(s.options.PullTimeout)
	source, found := s.pickSource()
	if !found {
		s.pull.fetching = true
		s.emit(FetchDeltas{After: s.state.Version()})
		return
	}
	s.pull.nonce = s.newNonce()
	s.send(source, Pull{From: s.key.Hash, Nonce: s.pull.nonce, Held: s.state.Version()})
}

// pickSource picks the source of the next attempt: a member that advertised the
// version, then a random member; false stands for the store.
func (s *Spreader) pickSource() (uint64, bool) {
	if s.pull.attempts%(maxPeerAttempts+1) >= s.peerAttempts() {
		return 0, false
	}
	if n := len(s.pull.sources); n > 0 {
		// The latest source comes first and each is asked once, so that nodes that
		// received an advert from the same member don't all keep asking it.
		latest := s.pull.sources[n-1]
		s.pull.sources = s.pull.sources[:n-1]
		if _, known := s.order.RankByHash(latest); known {
			return latest, true
		}
	}
	return s.randomPeer()
}

// peerAttempts returns the number of members to ask before the store. For a version
// found in the table it is one, which shows whether other members have it.
func (s *Spreader) peerAttempts() int {
	if s.pull.discovered {
		return 1
	}
	return maxPeerAttempts
}

func (s *Spreader) randomPeer() (uint64, bool) {
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

// retryPull schedules another source, with exponential backoff.
func (s *Spreader) retryPull(now time.Time) {
	s.pull.nonce, s.pull.fetching = 0, false
	s.pull.attempts++
	if s.pull.attempts%(maxPeerAttempts+1) == 0 {
		s.pull.discovered = false
		s.pull.backoff = min(max(2*s.pull.backoff, s.options.Backoff), s.options.MaxBackoff)
	}
	if s.pull.discovered && s.pull.attempts%(maxPeerAttempts+1) == 1 {
		s.startPull(now)
		return
	}
	wait := max(s.pull.backoff, s.options.Backoff/4)
	s.pull.due = now.Add(s.jitter(wait, wait))
}

func (s *Spreader) onDeltas(now time.Time, from uint64, answer Deltas) {
	if s.pull.nonce == 0 || answer.Nonce != s.pull.nonce {
		return
	}
	s.pull.nonce = 0
	before := s.state.Version()
	s.receiveDeltas(now, answer.Deltas)
	s.onHead(now, from, answer.Head)
	s.continuePull(now, before)
}

func (s *Spreader) receiveDeltas(now time.Time, encoded [][]byte) {
	_, deltas, err := readBatch(encoded)
	if err != nil {
		if len(encoded) > 0 {
			s.emit(Report{Err: err})
		}
		return
	}
	for i, delta := range deltas {
		s.receiveDelta(now, delta, encoded[i])
	}
}

// continuePull pulls again at once after progress, and from another source otherwise.
func (s *Spreader) continuePull(now time.Time, before bfconfig.Version) {
	switch {
	case s.pull.wanted.Version <= s.state.Version():
		s.pull = pullState{}
	case s.state.Version() > before:
		s.pull.attempts, s.pull.backoff = 0, 0
		s.startPull(now)
	default:
		s.retryPull(now)
	}
}

func (s *Spreader) onBusy(now time.Time, from uint64, busy Busy) {
	if s.rejection.nonce != 0 && busy.Nonce == s.rejection.nonce {
		s.rejection.nonce = 0
		return
	}
	if s.pull.nonce == 0 || busy.Nonce != s.pull.nonce {
		return
	}
	// A busy member doesn't count as a failure: otherwise all nodes that lag
	// behind would turn to the store. Another member may be free, so the backoff
	// starts short and grows to RetryAfter. The busy member is then asked before
	// random members, which may lag behind themselves.
	s.pull.nonce = 0
	if len(s.pull.sources) < maxSources {
		s.pull.sources = slices.Insert(s.pull.sources, 0, from)
	}
	retryAfter := time.Duration(busy.RetryAfter) * time.Millisecond
	s.pull.backoff = min(max(2*s.pull.backoff, s.options.Backoff/2), max(retryAfter, s.options.Backoff/2), s.options.MaxBackoff)
	s.pull.due = now.Add(s.jitter(s.pull.backoff, s.pull.backoff))
}

func (s *Spreader) onSnapshot(now time.Time, answer Snapshot) {
	repairing := s.rejection.nonce != 0 && answer.Nonce == s.rejection.nonce
	pulling := s.pull.nonce != 0 && answer.Nonce == s.pull.nonce
	if !repairing && !pulling {
		return
	}
	if repairing {
		s.rejection.nonce = 0
	}
	if pulling {
		s.pull.nonce = 0
	}
	before := s.state.Version()
	s.restore(now, answer.Version, answer.Data, false)
	if pulling {
		s.continuePull(now, before)
	}
}

// restore adopts a snapshot atomically.
func (s *Spreader) restore(now time.Time, version bfconfig.Version, data []byte, fromStore bool) {
	held := s.Head()
	if version < held.Version || version == held.Version && !fromStore {
		return
	}
	state, err := bfconfig.Restore(data, version)
	if err != nil {
		s.emit(RejectVersion{Version: version, Err: err})
		return
	}
	if HeadOf(state) == held {
		s.rejection.verified = version
		return
	}
	s.log = deltaLog{}
	s.adopt(now, state)
	s.applyBuffered(now)
}

// snapshotServer caches the snapshot sent to other nodes and limits its rate.
type snapshotServer struct {
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
		s.send(pull.From, Deltas{Nonce: pull.Nonce, Deltas: s.limitBytes(deltas), Head: head})
		return
	}
	s.sendSnapshot(now, pull)
}

// limitBytes returns the first deltas, up to MessageBytes; the receiver pulls the rest.
func (s *Spreader) limitBytes(deltas [][]byte) [][]byte {
	size := 0
	for i, data := range deltas {
		if size += len(data); size > s.options.MessageBytes && i > 0 {
			return deltas[:i]
		}
	}
	return deltas
}

// sendSnapshot sends a snapshot, or Busy if the rate limit is used up.
//
// Nodes that restart together pull a snapshot each; without the limit, the nodes
// they ask first would use up their control bandwidth for hours.
func (s *Spreader) sendSnapshot(now time.Time, pull Pull) {
	rate := s.options.SnapshotRate
	server := &s.snapshots
	server.tokens = min(max(1, rate), server.tokens+rate*now.Sub(server.refilled).Seconds())
	server.refilled = now
	if server.tokens < 1 {
		wait := s.jitter(0, 2*time.Duration(float64(time.Second)/rate))
		s.send(pull.From, Busy{Nonce: pull.Nonce, RetryAfter: uint32(wait.Milliseconds())})
		return
	}
	if server.version != s.state.Version() || server.snapshot == nil {
		data, err := s.state.EncodeSnapshot()
		if err != nil {
			s.emit(Report{Err: err})
			return
		}
		server.snapshot, server.version = data, s.state.Version()
	}
	server.tokens--
	s.send(pull.From, Snapshot{Nonce: pull.Nonce, Version: server.version, Data: server.snapshot})
}
