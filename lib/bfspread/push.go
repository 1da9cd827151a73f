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

// originQueue batches the versions that this node pushes first.
type originQueue struct {
	deltas [][]byte
	due    time.Time
	last   time.Time
}

// pendingPush is a push to one part that has not been acknowledged yet.
type pendingPush struct {
	deltas [][]byte
	last   bfconfig.Version
	span   bfspan.Span
	tried  []bfroster.Key
	// resent is set once the push was sent twice to the last relay.
	resent   bool
	deadline time.Time
}

// Committed pushes a version that this node has committed to the fleet; data is its
// encoded delta.
func (s *Spreader) Committed(now time.Time, data []byte) []Action {
	s.begin()
	delta, err := bfconfig.DecodeDelta(data)
	if err != nil {
		s.emit(Report{Err: err})
		return s.out
	}
	s.receiveDelta(now, delta, data)
	if delta.Version() > s.state.Version() {
		s.schedulePull(now, Head{Version: delta.Version()}, 0)
	}
	s.originate(now, data)
	return s.out
}

// originate pushes at once if the last push is longer ago than BatchWindow, and
// batches until then otherwise.
func (s *Spreader) originate(now time.Time, data []byte) {
	s.origin.deltas = append(s.origin.deltas, data)
	if s.origin.due.IsZero() {
		s.origin.due = laterOf(now, s.origin.last.Add(s.options.BatchWindow))
	}
	s.tickOrigin(now)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Spreader) tickOrigin(now time.Time) {
	if !isDue(now, s.origin.due) {
		return
	}
	deltas := s.origin.deltas
	s.origin = originQueue{last: now}
	for _, batch := range s.batches(deltas) {
		s.spread(now, batch, bfspan.Span{})
	}
}

// batch is consecutive deltas that are sent in one message.
type batch struct {
	deltas      [][]byte
	first, last bfconfig.Version
}

// BatchError reports a batch whose versions are not consecutive.
type BatchError struct{ Before, Version bfconfig.Version }

// Error names the versions.
func (e *BatchError) Error() string {
	return fmt.Sprintf("batch is not consecutive: version %d follows version %d", e.Version, e.Before)
}

// batches splits deltas where versions are not consecutive or a message would
// exceed MessageBytes.
func (s *Spreader) batches(deltas [][]byte) []batch {
	var list []batch
	size := 0
	for _, data := range deltas {
		delta, err := bfconfig.DecodeDelta(data)
		if err != nil {
			s.emit(Report{Err: err})
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

// spread pushes the batch to each part of the span, unless this was done before.
func (s *Spreader) spread(now time.Time, b batch, span bfspan.Span) {
	if s.hasCovered(b, span) {
		return
	}
	s.markCovered(b, span)
	for _, part := range s.split(span) {
		s.push(now, &pendingPush{deltas: b.deltas, last: b.last, span: part})
	}
}

func (s *Spreader) markCovered(b batch, span bfspan.Span) {
	// Adoption doesn't remove versions far beyond the held one, so the map is
	// cleared when it is full; this only repeats a few pushes.
	const limit = 1 << 12
	if len(s.covered) > limit {
		clear(s.covered)
	}
	for v := b.first; v <= b.last; v++ {
		s.covered[v] = append(s.covered[v], span)
	}
}

// hasCovered reports whether the batch was already forwarded to the whole span.
//
// It compares spans, not versions: a node that holds a version may receive it
// again for the span of a relay that failed. Dropped as a duplicate, the version
// would reach the nodes of that span by pulls only.
func (s *Spreader) hasCovered(b batch, span bfspan.Span) bool {
	for v := b.first; v <= b.last; v++ {
		covers := func(done bfspan.Span) bool { return done.Covers(span) }
		if !slices.ContainsFunc(s.covered[v], covers) {
			return false
		}
	}
	return true
}

func (s *Spreader) split(span bfspan.Span) []bfspan.Span {
	return bfspan.Splitter{Order: s.order, Self: s.key, Fanout: s.options.Fanout}.Split(span)
}

// push sends to the next relay of the part, unless PushAttempts relays were tried.
func (s *Spreader) push(now time.Time, p *pendingPush) {
	relay, found := s.nextPushRelay(p)
	if !found {
		return
	}
	p.deadline = now.Add(s.ackTimeout(relay))
	nonce := s.newNonce()
	s.pushes[nonce] = p
	message := Push{From: s.key.Hash, Nonce: nonce, Deltas: p.deltas, Range: p.span.Range(relay.Key())}
	if head := s.Head(); head.Version > p.last {
		message.Head = head
	}
	s.emit(sendTo(relay, message))
}

// nextPushRelay returns the last relay a second time, then another one.
//
// Lost acks are more frequent than failed relays. A new relay, and every relay
// below it, would forward the whole part again; the same relay only sends
// another ack.
func (s *Spreader) nextPushRelay(p *pendingPush) (*bfroster.Member, bool) {
	if n := len(p.tried); n > 0 && !p.resent {
		p.resent = true
		if rank, found := s.order.RankByHash(p.tried[n-1].Hash); found {
			return s.order.At(rank), true
		}
	}
	relay, found := s.pickRelay(p.span, p.tried)
	if !found || len(p.tried) >= s.options.PushAttempts {
		return nil, false
	}
	p.resent = false
	p.tried = append(p.tried, relay.Key())
	return relay, true
}

func (s *Spreader) ackTimeout(relay *bfroster.Member) time.Duration {
	if relay.Key().Region == s.key.Region {
		return s.options.LocalAckTimeout
	}
	return s.options.RemoteAckTimeout
}

// pickRelay picks the member with the lowest relayCost of a random sample of the span.
func (s *Spreader) pickRelay(span bfspan.Span, tried []bfroster.Key) (*bfroster.Member, bool) {
	low, high := span.Ranks(s.order)
	if low >= high {
		return nil, false
	}
	var best *bfroster.Member
	const draws = 8
	for range min(draws, 4*(high-low)) {
		member := s.order.At(low + s.rand.IntN(high-low))
		if best == nil || relayCost(member, tried) < relayCost(best, tried) {
			best = member
		}
	}
	return best, best.Key() != s.key
}

// relayCost prefers alive members to suspects, members not tried to those tried,
// and members of other domains to those that share a domain with one tried: if a
// whole domain is down, its other members would not answer either.
func relayCost(member *bfroster.Member, tried []bfroster.Key) int {
	const suspectCost, triedCost, triedDomainCost = 4, 2, 1
	cost := 0
	if !member.Alive() {
		cost += suspectCost
	}
	key := member.Key()
	if slices.Contains(tried, key) {
		cost += triedCost
	}
	if slices.ContainsFunc(tried, func(t bfroster.Key) bool { return t.Domain == key.Domain && t.Region == key.Region }) {
		cost += triedDomainCost
	}
	return cost
}

func (s *Spreader) tickPushes(now time.Time) {
	for _, nonce := range slices.Sorted(maps.Keys(s.pushes)) {
		if p := s.pushes[nonce]; isDue(now, p.deadline) {
			delete(s.pushes, nonce)
			s.push(now, p)
		}
	}
}

func (s *Spreader) onPush(now time.Time, p Push) {
	b, deltas, err := readBatch(p.Deltas)
	if err != nil {
		s.emit(Report{Err: err})
		return
	}
	for i, delta := range deltas {
		s.receiveDelta(now, delta, b.deltas[i])
	}
	ack := Ack{Nonce: p.Nonce}
	if head := s.Head(); head.Version != b.last {
		ack.Head = head
	}
	s.send(p.From, ack)
	// A version that can't be applied here is forwarded too: this node's own state
	// may be wrong, and the nodes of its range must not depend on that.
	s.spread(now, b, p.Range.Span(s.key))
	advertised := Head{Version: b.last}
	if p.Head.Version > b.last {
		advertised = p.Head
	}
	s.onHead(now, p.From, advertised)
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
		s.onHead(now, from, ack.Head)
	}
}
