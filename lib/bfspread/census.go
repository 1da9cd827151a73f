package bfspread

import (
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfmember"
)

// census is a query that this node answers for a span of members.
type census struct {
	id uint32
	// asker is whom the answer goes to by its nonce; 0 is this node's own operator.
	asker uint64
	nonce uint32
	wait  time.Duration
	parts map[uint32]*censusPart
	tally Tally
}

// censusPart is one relay that was asked.
type censusPart struct {
	span     span
	tried    []bfmember.Key
	deadline time.Time
}

const (
	// censusTries relays of a part are asked, each for a share of the wait that
	// leaves this node the time to answer in its turn.
	censusTries = 2
	censusShare = 0.45
	// shortestCensus bounds how deep a census goes with too short a wait.
	shortestCensus = 20 * time.Millisecond
)

// next is when a part is given up.
func (c *census) next() time.Time {
	var next time.Time
	for _, part := range c.parts {
		if next.IsZero() || part.deadline.Before(next) {
			next = part.deadline
		}
	}
	return next
}

// Census asks the whole fleet what is in force; CensusDone answers with the returned ID within wait.
func (s *Spreader) Census(now time.Time, wait time.Duration) (uint32, []Action) {
	s.begin()
	c := &census{id: s.newNonce(), wait: wait}
	s.startCensus(now, c, fleetSpan)
	return c.id, s.out
}

func (s *Spreader) onCensus(now time.Time, query Census) {
	wait := time.Duration(query.Wait) * time.Millisecond
	c := &census{id: s.newNonce(), asker: query.From, nonce: query.Nonce, wait: min(wait, time.Minute)}
	s.startCensus(now, c, query.Range.span(s.key))
}

func (s *Spreader) startCensus(now time.Time, c *census, over span) {
	c.parts = map[uint32]*censusPart{}
	c.tally = s.ownTally()
	s.census[c.id] = c
	for _, part := range s.split(over) {
		s.askPart(now, c, &censusPart{span: part})
	}
	s.endCensus(c)
}

func (s *Spreader) ownTally() Tally {
	return Tally{
		Versions: []VersionCount{{Version: s.inForce, Members: 1}},
		Domains:  []DomainCount{{Domain: s.key.Domain, Members: 1, Oldest: s.inForce}},
	}
}

// askPart asks another relay of the part, or counts the part as lacking.
func (s *Spreader) askPart(now time.Time, c *census, part *censusPart) {
	relay, found := s.relay(part.span, part.tried)
	wait := time.Duration(censusShare * float64(c.wait))
	if !found || len(part.tried) >= censusTries || wait < shortestCensus {
		s.lack(c, part.span)
		return
	}
	part.tried = append(part.tried, relay.Key())
	part.deadline = now.Add(wait)
	nonce := s.newNonce()
	c.parts[nonce] = part
	s.asked[nonce] = c.id
	s.do(sendTo(relay, Census{
		From: s.key.Hash, Nonce: nonce, Range: part.span.wire(relay.Key()), Wait: uint32(wait.Milliseconds()),
	}))
}

// lack counts the members of a part without an answer, by this node's own view.
func (s *Spreader) lack(c *census, over span) {
	low, high := over.ranks(s.order)
	for rank := low; rank < high; rank++ {
		c.tally.addLack(Lack{Domain: s.order.At(rank).Key().Domain, Members: 1})
	}
}

func (s *Spreader) endCensus(c *census) {
	if len(c.parts) > 0 {
		return
	}
	delete(s.census, c.id)
	if c.asker == 0 {
		s.do(CensusDone{ID: c.id, Tally: c.tally})
		return
	}
	s.send(c.asker, CensusAnswer{Nonce: c.nonce, Tally: c.tally})
}

// onCensusAnswer takes the first answer for a part; later ones of relays given up are not counted twice.
func (s *Spreader) onCensusAnswer(_ time.Time, answer CensusAnswer) {
	id, waiting := s.asked[answer.Nonce]
	if !waiting {
		return
	}
	delete(s.asked, answer.Nonce)
	c := s.census[id]
	delete(c.parts, answer.Nonce)
	c.tally.merge(answer.Tally)
	s.endCensus(c)
}

func (s *Spreader) tickCensus(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.census)) {
		c := s.census[id]
		for _, nonce := range slices.Sorted(maps.Keys(c.parts)) {
			part := c.parts[nonce]
			if due(now, part.deadline) {
				delete(c.parts, nonce)
				delete(s.asked, nonce)
				s.askPart(now, c, part)
			}
		}
		s.endCensus(c)
	}
}

// Held is the newest version held, which may not be in force yet.
func (s *Spreader) Held() bfconfig.Version { return s.state.Version() }
