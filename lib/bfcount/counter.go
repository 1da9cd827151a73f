package bfcount

import (
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// Fleet is what a count needs of the node it runs on.
type Fleet interface {
	// Order is the newest view of the members.
	Order() *bfroster.Order
	// Split covers a span, this node excepted, by disjoint spans of members.
	Split(over bfspan.Span) []bfspan.Span
	// Relay draws a member of the span other than this node, rather none of tried.
	Relay(over bfspan.Span, tried []bfroster.Key) (*bfroster.Member, bool)
	// NewNonce is a number that no other waiting message of the node has.
	NewNonce() uint32
}

// Counter runs the censuses of one node; it is for one goroutine at a time.
type Counter struct {
	fleet   Fleet
	self    bfroster.Key
	inForce bfconfig.Version
	// censuses are those that wait for answers, by their IDs.
	censuses map[uint32]*census
	// asked maps the nonce of a census's part to the census.
	asked map[uint32]uint32
	// out collects the actions of the call in progress.
	out []Action
}

// census is a query that this node answers for a span of members.
type census struct {
	id uint32
	// asker is whom the answer goes to by its nonce; 0 is this node's own operator.
	asker uint64
	nonce uint32
	wait  time.Duration
	parts map[uint32]*part
	tally Tally
}

// part is a part of a census's span, of which one relay was asked.
type part struct {
	span     bfspan.Span
	tried    []bfroster.Key
	deadline time.Time
}

const (
	// maxTries relays of a part are asked, each for a share of the wait that
	// leaves this node the time to answer in its turn.
	maxTries  = 2
	waitShare = 0.45
	// shortestWait bounds how deep a census goes with too short a wait.
	shortestWait = 20 * time.Millisecond
	longestWait  = time.Minute
)

// New makes the counter of the member with the key self.
func New(self bfroster.Key, inForce bfconfig.Version, fleet Fleet) *Counter {
	return &Counter{
		fleet: fleet, self: self, inForce: inForce, censuses: map[uint32]*census{}, asked: map[uint32]uint32{},
	}
}

// SetInForce takes the version in force on this node.
func (c *Counter) SetInForce(version bfconfig.Version) { c.inForce = version }

// Start asks the whole fleet; Done answers with the returned ID within wait.
func (c *Counter) Start(now time.Time, wait time.Duration) (uint32, []Action) {
	id := c.fleet.NewNonce()
	return id, c.start(now, &census{id: id, wait: wait}, bfspan.Span{})
}

// Asked takes a question of another node.
func (c *Counter) Asked(now time.Time, q Question) []Action {
	wait := min(time.Duration(q.Wait)*time.Millisecond, longestWait)
	query := &census{id: c.fleet.NewNonce(), asker: q.From, nonce: q.Nonce, wait: wait}
	return c.start(now, query, q.Range.Span(c.self))
}

// Answered takes the first answer for a part; later ones of relays given up are not counted twice.
func (c *Counter) Answered(answer Answer) []Action {
	c.out = nil
	id, waiting := c.asked[answer.Nonce]
	if !waiting {
		return nil
	}
	delete(c.asked, answer.Nonce)
	query := c.censuses[id]
	delete(query.parts, answer.Nonce)
	query.tally.merge(answer.Tally)
	c.end(query)
	return c.out
}

// Tick gives up relays whose answers are due; the next call is due at Next.
func (c *Counter) Tick(now time.Time) []Action {
	c.out = nil
	for _, id := range slices.Sorted(maps.Keys(c.censuses)) {
		query := c.censuses[id]
		for _, nonce := range slices.Sorted(maps.Keys(query.parts)) {
			if p := query.parts[nonce]; !now.Before(p.deadline) {
				delete(query.parts, nonce)
				delete(c.asked, nonce)
				c.ask(now, query, p)
			}
		}
		c.end(query)
	}
	return c.out
}

// Next is when Tick has something to do, zero while no answer is awaited.
func (c *Counter) Next() time.Time {
	var next time.Time
	for _, query := range c.censuses {
		for _, p := range query.parts {
			if next.IsZero() || p.deadline.Before(next) {
				next = p.deadline
			}
		}
	}
	return next
}

func (c *Counter) start(now time.Time, query *census, over bfspan.Span) []Action {
	c.out = nil
	query.parts = map[uint32]*part{}
	query.tally = c.ownTally()
	c.censuses[query.id] = query
	for _, span := range c.fleet.Split(over) {
		c.ask(now, query, &part{span: span})
	}
	c.end(query)
	return c.out
}

func (c *Counter) ownTally() Tally {
	return Tally{
		Versions: []VersionCount{{Version: c.inForce, Members: 1}},
		Domains:  []DomainCount{{Domain: c.self.Domain, Members: 1, Oldest: c.inForce}},
	}
}

// ask asks another relay of the part, or counts the part as lacking.
func (c *Counter) ask(now time.Time, query *census, p *part) {
	relay, found := c.fleet.Relay(p.span, p.tried)
	wait := time.Duration(waitShare * float64(query.wait))
	if !found || len(p.tried) >= maxTries || wait < shortestWait {
		c.lack(query, p.span)
		return
	}
	p.tried = append(p.tried, relay.Key())
	p.deadline = now.Add(wait)
	nonce := c.fleet.NewNonce()
	query.parts[nonce] = p
	c.asked[nonce] = query.id
	c.out = append(c.out, Ask{Relay: relay, Question: Question{
		From: c.self.Hash, Nonce: nonce, Range: p.span.Range(relay.Key()), Wait: uint32(wait.Milliseconds()),
	}})
}

// lack counts the members of a part without an answer, by this node's own view.
func (c *Counter) lack(query *census, over bfspan.Span) {
	order := c.fleet.Order()
	low, high := over.Ranks(order)
	for rank := low; rank < high; rank++ {
		query.tally.addLack(Lack{Domain: order.At(rank).Key().Domain, Members: 1})
	}
}

func (c *Counter) end(query *census) {
	if len(query.parts) > 0 {
		return
	}
	delete(c.censuses, query.id)
	if query.asker == 0 {
		c.out = append(c.out, Done{ID: query.id, Tally: query.tally})
		return
	}
	c.out = append(c.out, Reply{To: query.asker, Answer: Answer{Nonce: query.nonce, Tally: query.tally}})
}
