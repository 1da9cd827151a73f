package bfcount

import (
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// Fleet is the node's view of the members as a Counter needs it.
type Fleet interface {
	// Order returns the newest view of the members.
	Order() *bfroster.Order
	// Split divides a span, without this node, into disjoint spans of members.
	Split(over bfspan.Span) []bfspan.Span
	// Relay selects a random member of the span other than this node, preferably not one of
	// tried.
	Relay(over bfspan.Span, tried []bfroster.Key) (*bfroster.Member, bool)
	// NewNonce returns a number that no other pending message of the node uses.
	NewNonce() uint32
}

// Counter runs the censuses of one node; it is not safe for concurrent use.
type Counter struct {
	fleet   Fleet
	self    bfroster.Key
	inForce bfconfig.Version
	// censuses holds by ID those that wait for responses.
	censuses map[uint32]*activeCensus
	// pending maps the nonce of each pending query to the ID of its census.
	pending map[uint32]uint32
	// out collects the actions of the current call.
	out []Action
}

// activeCensus is a count over a span of members that this node answers.
type activeCensus struct {
	id uint32
	// requester is the member that receives the response with the nonce; 0 is this node's own
	// operator.
	requester uint64
	nonce     uint32
	wait      time.Duration
	parts     map[uint32]*part
	tally     Tally
}

// part is a part of a census's span, which is queried through one relay.
type part struct {
	span     bfspan.Span
	tried    []bfroster.Key
	deadline time.Time
}

const (
	// maxAttempts is how many relays of a part are queried. Each may use relayWaitFraction of
	// the census's wait, which leaves this node time to respond in its turn.
	maxAttempts       = 2
	relayWaitFraction = 0.45
	// minWait limits the depth of the relay tree: a query with a shorter wait is not sent.
	minWait = 20 * time.Millisecond
	maxWait = time.Minute
)

// New returns the counter of the member with the key self.
func New(self bfroster.Key, inForce bfconfig.Version, fleet Fleet) *Counter {
	return &Counter{
		fleet: fleet, self: self, inForce: inForce, censuses: map[uint32]*activeCensus{}, pending: map[uint32]uint32{},
	}
}

// SetInForce sets the version in force on this node.
func (c *Counter) SetInForce(version bfconfig.Version) { c.inForce = version }

// Start starts a census of the whole fleet; a Done with the returned ID follows within wait.
func (c *Counter) Start(now time.Time, wait time.Duration) (uint32, []Action) {
	id := c.fleet.NewNonce()
	return id, c.start(now, &activeCensus{id: id, wait: wait}, bfspan.Span{})
}

// HandleQuery starts the census that another node requested.
func (c *Counter) HandleQuery(now time.Time, q Query) []Action {
	wait := min(time.Duration(q.Wait)*time.Millisecond, maxWait)
	requested := &activeCensus{id: c.fleet.NewNonce(), requester: q.From, nonce: q.Nonce, wait: wait}
	return c.start(now, requested, q.Range.Span(c.self))
}

// HandleResponse adds the first response for a part; a late one from a relay that timed out is
// dropped, so that no member is counted twice.
func (c *Counter) HandleResponse(response Response) []Action {
	c.out = nil
	id, waiting := c.pending[response.Nonce]
	if !waiting {
		return nil
	}
	delete(c.pending, response.Nonce)
	current := c.censuses[id]
	delete(current.parts, response.Nonce)
	current.tally.merge(response.Tally)
	c.finishIfComplete(current)
	return c.out
}

// Tick retries the parts whose relays timed out; the next call is due at Next.
func (c *Counter) Tick(now time.Time) []Action {
	c.out = nil
	for _, id := range slices.Sorted(maps.Keys(c.censuses)) {
		current := c.censuses[id]
		for _, nonce := range slices.Sorted(maps.Keys(current.parts)) {
			if p := current.parts[nonce]; !now.Before(p.deadline) {
				delete(current.parts, nonce)
				delete(c.pending, nonce)
				c.queryRelay(now, current, p)
			}
		}
		c.finishIfComplete(current)
	}
	return c.out
}

// Next returns when Tick is due, zero if no response is pending.
func (c *Counter) Next() time.Time {
	var next time.Time
	for _, current := range c.censuses {
		for _, p := range current.parts {
			if next.IsZero() || p.deadline.Before(next) {
				next = p.deadline
			}
		}
	}
	return next
}

func (c *Counter) start(now time.Time, current *activeCensus, over bfspan.Span) []Action {
	c.out = nil
	current.parts = map[uint32]*part{}
	current.tally = c.ownTally()
	c.censuses[current.id] = current
	for _, span := range c.fleet.Split(over) {
		c.queryRelay(now, current, &part{span: span})
	}
	c.finishIfComplete(current)
	return c.out
}

func (c *Counter) ownTally() Tally {
	return Tally{
		Versions: []VersionCount{{Version: c.inForce, Members: 1}},
		Domains:  []DomainCount{{Domain: c.self.Domain, Members: 1, Oldest: c.inForce}},
	}
}

// queryRelay queries another relay of the part, or counts the part as unreachable.
func (c *Counter) queryRelay(now time.Time, current *activeCensus, p *part) {
	relay, found := c.fleet.Relay(p.span, p.tried)
	wait := time.Duration(relayWaitFraction * float64(current.wait))
	if !found || len(p.tried) >= maxAttempts || wait < minWait {
		c.countUnreachable(current, p.span)
		return
	}
	p.tried = append(p.tried, relay.Key())
	p.deadline = now.Add(wait)
	nonce := c.fleet.NewNonce()
	current.parts[nonce] = p
	c.pending[nonce] = current.id
	c.out = append(c.out, SendQuery{Relay: relay, Query: Query{
		From: c.self.Hash, Nonce: nonce, Range: p.span.Range(relay.Key()), Wait: uint32(wait.Milliseconds()),
	}})
}

// countUnreachable counts the members of a part without a response, by this node's own view.
func (c *Counter) countUnreachable(current *activeCensus, over bfspan.Span) {
	order := c.fleet.Order()
	low, high := over.Ranks(order)
	for rank := low; rank < high; rank++ {
		current.tally.addUnreachable(UnreachableCount{Domain: order.At(rank).Key().Domain, Members: 1})
	}
}

func (c *Counter) finishIfComplete(current *activeCensus) {
	if len(current.parts) > 0 {
		return
	}
	delete(c.censuses, current.id)
	if current.requester == 0 {
		c.out = append(c.out, Done{ID: current.id, Tally: current.tally})
		return
	}
	c.out = append(c.out, SendResponse{To: current.requester, Response: Response{Nonce: current.nonce, Tally: current.tally}})
}
