package bfspread

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// origin gathers versions that this node has first.
type origin struct {
	deltas [][]byte
	due    time.Time
	last   time.Time
}

// pushing is a push without an ack so far.
type pushing struct {
	deltas [][]byte
	last   bfconfig.Version
	span   bfspan.Span
	tried  []bfroster.Key
	// resent is set once the last relay was sent the push twice.
	resent   bool
	deadline time.Time
}

// Committed takes a version that this node's commit made, and tells everybody.
func (s *Spreader) Committed(now time.Time, data []byte) []Action {
	s.begin()
	delta, err := bfconfig.DecodeDelta(data)
	if err != nil {
		s.do(Report{Err: err})
		return s.out
	}
	s.offer(now, delta, data)
	if delta.Version() > s.state.Version() {
		s.expect(now, Head{Version: delta.Version()}, 0)
	}
	s.originate(now, data)
	return s.out
}

// originate sends at once when changes are rare, and gathers a window when they come thick.
func (s *Spreader) originate(now time.Time, data []byte) {
	s.origin.deltas = append(s.origin.deltas, data)
	if s.origin.due.IsZero() {
		s.origin.due = later(now, s.origin.last.Add(s.options.Window))
	}
	s.tickOrigin(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Spreader) tickOrigin(now time.Time) {
	if !due(now, s.origin.due) {
		return
	}
	deltas := s.origin.deltas
	s.origin = origin{last: now}
	for _, batch := range s.batches(deltas) {
		s.spread(now, batch, bfspan.Span{})
	}
}

// batch is consecutive deltas that travel as one.
type batch struct {
	deltas      [][]byte
	first, last bfconfig.Version
}

// BatchError reports a batch that is not of consecutive versions.
type BatchError struct{ Before, Version bfconfig.Version }

// Error names the versions.
func (e *BatchError) Error() string {
	return fmt.Sprintf("version %d follows %d in a batch", e.Version, e.Before)
}

// batches cuts deltas where versions are not consecutive or a message gets too large.
func (s *Spreader) batches(deltas [][]byte) []batch {
	var list []batch
	size := 0
	for _, data := range deltas {
		delta, err := bfconfig.DecodeDelta(data)
		if err != nil {
			s.do(Report{Err: err})
			continue
		}
		n := len(list) - 1
		if n < 0 || delta.Version() != list[n].last+1 || size+len(data) > s.options.MessageBytes {
			list = append(list, batch{first: delta.Version()})
			n, size = len(list)-1, 0
		}
		list[n].deltas = append(list[n].deltas, data)
		list[n].last = delta.Version()
		size += len(data)
	}
	return list
}

// spread covers the span by one push to each of its parts.
func (s *Spreader) spread(now time.Time, b batch, over bfspan.Span) {
	if s.hasCovered(b, over) {
		return
	}
	s.markCovered(b, over)
	for _, part := range s.split(over) {
		s.push(now, &pushing{deltas: b.deltas, last: b.last, span: part})
	}
}

func (s *Spreader) markCovered(b batch, over bfspan.Span) {
	// Versions far beyond the held one are never trimmed by adoption; forgetting
	// all only costs a few pushes sent twice.
	const limit = 1 << 12
	if len(s.covered) > limit {
		clear(s.covered)
	}
	for v := b.first; v <= b.last; v++ {
		s.covered[v] = append(s.covered[v], over)
	}
}

// hasCovered tells a duplicate from a new range of versions already held.
//
// A relay whose ack was lost gets its range again from nobody, but the range
// of another that died may come to a node that holds the version already; were
// it judged by the version, everybody in that range would be left to repair.
func (s *Spreader) hasCovered(b batch, over bfspan.Span) bool {
	for v := b.first; v <= b.last; v++ {
		covers := func(done bfspan.Span) bool { return done.Covers(over) }
		if !slices.ContainsFunc(s.covered[v], covers) {
			return false
		}
	}
	return true
}

func (s *Spreader) split(over bfspan.Span) []bfspan.Span {
	return bfspan.Splitter{Order: s.order, Self: s.key, Fanout: s.options.Fanout}.Split(over)
}

// push sends to another relay of the part, unless enough were tried.
func (s *Spreader) push(now time.Time, p *pushing) {
	relay, found := s.pushRelay(p)
	if !found {
		return
	}
	p.deadline = now.Add(s.ackWait(relay))
	nonce := s.newNonce()
	s.pushes[nonce] = p
	message := Push{From: s.key.Hash, Nonce: nonce, Deltas: p.deltas, Range: p.span.Range(relay.Key())}
	if head := s.Head(); head.Version > p.last {
		message.Head = head
	}
	s.do(sendTo(relay, message))
}

// pushRelay is the last relay once more, then another.
//
// More acks get lost than relays die. Another relay that is asked at once hands
// the whole part on again, and so do those below it; the same one only answers.
func (s *Spreader) pushRelay(p *pushing) (*bfroster.Member, bool) {
	if n := len(p.tried); n > 0 && !p.resent {
		p.resent = true
		if rank, found := s.order.RankOf(p.tried[n-1].Hash); found {
			return s.order.At(rank), true
		}
	}
	relay, found := s.relay(p.span, p.tried)
	if !found || len(p.tried) >= s.options.PushTries {
		return nil, false
	}
	p.resent = false
	p.tried = append(p.tried, relay.Key())
	return relay, true
}

func (s *Spreader) ackWait(relay *bfroster.Member) time.Duration {
	if relay.Key().Region == s.key.Region {
		return s.options.AckNear
	}
	return s.options.AckFar
}

// relay draws a member of the span, by relayRank.
func (s *Spreader) relay(over bfspan.Span, tried []bfroster.Key) (*bfroster.Member, bool) {
	low, high := over.Ranks(s.order)
	if low >= high {
		return nil, false
	}
	var best *bfroster.Member
	const draws = 8
	for range min(draws, 4*(high-low)) {
		member := s.order.At(low + s.rand.IntN(high-low))
		if best == nil || relayRank(member, tried) < relayRank(best, tried) {
			best = member
		}
	}
	return best, best.Key() != s.key
}

// relayRank puts an alive member before a suspect, one not tried before one
// tried, and one of another domain before a neighbour of one tried: where a
// whole domain is gone, its other members would not answer either.
func relayRank(member *bfroster.Member, tried []bfroster.Key) int {
	const suspect, same, neighbour = 4, 2, 1
	rank := 0
	if !member.Alive() {
		rank += suspect
	}
	key := member.Key()
	if slices.Contains(tried, key) {
		rank += same
	}
	if slices.ContainsFunc(tried, func(t bfroster.Key) bool { return t.Domain == key.Domain && t.Region == key.Region }) {
		rank += neighbour
	}
	return rank
}

func (s *Spreader) tickPushes(now time.Time) {
	for _, nonce := range slices.Sorted(maps.Keys(s.pushes)) {
		if p := s.pushes[nonce]; due(now, p.deadline) {
			delete(s.pushes, nonce)
			s.push(now, p)
		}
	}
}

func (s *Spreader) onPush(now time.Time, p Push) {
	b, deltas, err := readBatch(p.Deltas)
	if err != nil {
		s.do(Report{Err: err})
		return
	}
	for i, delta := range deltas {
		s.offer(now, delta, b.deltas[i])
	}
	ack := Ack{Nonce: p.Nonce}
	if head := s.Head(); head.Version != b.last {
		ack.Head = head
	}
	s.send(p.From, ack)
	// What this node can't apply it hands on all the same: the fault may be its
	// own, and the whole range behind it would pay for it.
	s.spread(now, b, p.Range.Span(s.key))
	told := Head{Version: b.last}
	if p.Head.Version > b.last {
		told = p.Head
	}
	s.hear(now, p.From, told)
}

func readBatch(encoded [][]byte) (batch, []bfconfig.Delta, error) {
	b := batch{deltas: encoded}
	var deltas []bfconfig.Delta
	for i, data := range encoded {
		delta, err := bfconfig.DecodeDelta(data)
		if err != nil {
			return batch{}, nil, err
		}
		if i == 0 {
			b.first = delta.Version()
		} else if delta.Version() != b.last+1 {
			return batch{}, nil, &BatchError{Before: b.last, Version: delta.Version()}
		}
		b.last = delta.Version()
		deltas = append(deltas, delta)
	}
	if len(deltas) == 0 {
		return batch{}, nil, &bfcodec.Error{What: "push", Reason: fmt.Errorf("no deltas")}
	}
	return b, deltas, nil
}

func (s *Spreader) onAck(now time.Time, from uint64, ack Ack) {
	if _, waiting := s.pushes[ack.Nonce]; !waiting {
		return
	}
	delete(s.pushes, ack.Nonce)
	if ack.Head.Version > 0 {
		s.hear(now, from, ack.Head)
	}
}
