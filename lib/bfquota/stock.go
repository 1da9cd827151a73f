package bfquota

import (
	"math"
	"slices"
	"time"
)

// stock holds the tokens of one workspace at its broker.
type stock struct {
	limit   Limit
	balance float64
	marks   map[*group]mark
	// granted are the lots that entries may still hold, in the order of their grants, and held their
	// sum.
	granted []lot
	held    float64
	// share is the sum of the shares of the members for which the broker serves the workspace, as of
	// the last settlement.
	share float64
	// promised is when the tokens arrive that denied entries are to request.
	promised time.Duration
	// asking holds the recent demand of the entries, for the division of scarce tokens.
	asking map[string]demand
	// demanded is the sum of the demands, of which outdated ones were last dropped at summed.
	demanded float64
	summed   time.Duration
}

// mark is how far a stock has received what a group accrued.
type mark struct {
	service          service
	accrued, credits float64
}

// lot is a number of tokens that an entry holds.
type lot struct {
	id     uint64
	entry  string
	end    time.Duration
	tokens int
	// quick is set for the tokens that requests wait for.
	quick bool
}

// demand is what an entry wants in requests per second, and when it said so.
type demand struct {
	rate float64
	at   time.Duration
}

// newStock returns the empty stock of a workspace, which receives nothing that was accrued before.
func (b *Broker) newStock(l Limit) *stock {
	s := &stock{limit: l, marks: map[*group]mark{}, asking: map[string]demand{}}
	for _, g := range b.groups {
		s.marks[g] = mark{service: b.serviceOf(g, l.Workspace), accrued: g.accrued, credits: g.credits}
	}
	return s
}

// settle adds what the groups have accrued since the last settlement, and reduces the balance to what
// may be saved.
func (b *Broker) settle(s *stock, now time.Duration) {
	credit := b.config.Terms.credit(s.limit)
	if b.weakened.fullStart {
		credit = b.config.Terms.capacity(s.limit)
	}
	gained, share, young := 0.0, 0.0, 0.0
	for _, g := range b.groups {
		m, found := s.marks[g]
		if !found {
			m.service = b.serviceOf(g, s.limit.Workspace)
		}
		switch m.service {
		case serveAll:
			gained += (g.accrued-m.accrued)*s.limit.Rate + (g.credits-m.credits)*credit
			share += g.share
			young += g.young
		case serveCredit:
			gained += (g.credits - m.credits) * credit
			young += g.share + g.young
		}
		m.accrued, m.credits = g.accrued, g.credits
		s.marks[g] = m
	}
	s.dropExpired(now)
	if share > 1 {
		// Members with a smaller view of the fleet, or removed ones that still run.
		gained, share = gained/share, 1
	}
	s.share = share
	room := b.config.Terms.capacity(s.limit)*s.share + credit*min(young, 1) - max(s.held-b.config.Terms.freeHeld(s.limit)*s.share, 0)
	if b.weakened.unshared {
		room = b.config.Terms.capacity(s.limit)
	}
	s.balance = min(s.balance+gained, max(room, 0))
}

// dropExpired drops the lots that entries can't use any more.
func (s *stock) dropExpired(now time.Duration) {
	s.granted = slices.DeleteFunc(s.granted, func(l lot) bool { return now >= l.end })
	s.held = 0
	for _, l := range s.granted {
		s.held += float64(l.tokens)
	}
}

// release drops the lots that an entry has used. A lot that is still on its way is later than the one
// that the entry has seen, and the entry discards earlier ones that arrive after it.
func (s *stock) release(r Request) {
	if !slices.ContainsFunc(s.granted, func(l lot) bool { return l.id == r.Seen && l.entry == r.Entry }) {
		return
	}
	left := max(r.Left, 0)
	for i := range s.granted {
		l := &s.granted[i]
		if l.entry != r.Entry || l.id > r.Seen || l.quick {
			continue
		}
		kept := min(l.tokens, left)
		left -= kept
		s.held -= float64(l.tokens - kept)
		l.tokens = kept
	}
}

// unknownWait is how long an entry waits whose broker does not know the workspace yet: a version is
// in force everywhere within two seconds.
const unknownWait = 300 * time.Millisecond

// Take grants tokens, or tells when to ask again.
func (b *Broker) Take(r Request, now time.Duration) Grant {
	b.advance(now)
	s := b.stocks[r.Workspace]
	if s == nil {
		return Grant{WaitMS: milliseconds(unknownWait)}
	}
	s.release(r)
	b.settle(s, now)
	part, interval := s.partOf(r, now), b.config.Terms.askInterval(s.limit)
	tokens := s.divide(r, part, interval)
	grant := Grant{Rate: s.limit.Rate * s.share * part}
	if tokens > 0 {
		b.lots++
		s.balance -= float64(tokens)
		quick := min(max(r.Waiting, 0), tokens)
		s.granted = append(s.granted, lot{id: b.lots, entry: r.Entry, end: now + quickHold, tokens: quick, quick: true}, lot{id: b.lots, entry: r.Entry, end: now + holdTime, tokens: tokens - quick})
		s.held += float64(tokens)
		grant.Lot, grant.Tokens = b.lots, tokens
	}
	if float64(tokens) < math.Floor(max(r.Want, 1)) {
		grant.WaitMS = max(milliseconds(s.promise(r, part, interval, now)), 1)
	}
	return grant
}

// demandSpan is how long the demand that an entry has reported counts.
const demandSpan = time.Second

// partOf records the demand of an entry and returns its part of the demand of all.
func (s *stock) partOf(r Request, now time.Duration) float64 {
	rate := max(r.Demand, 1e-3)
	s.demanded += rate - s.asking[r.Entry].rate
	s.asking[r.Entry] = demand{rate: rate, at: now}
	if now-s.summed > demandSpan/4 {
		s.sumDemand(now)
	}
	return min(rate/s.demanded, 1)
}

// sumDemand drops demand that was reported too long ago. With a thousand entries it would take
// too long at each request.
func (s *stock) sumDemand(now time.Duration) {
	s.summed, s.demanded = now, 0
	for entry, d := range s.asking {
		if now-d.at > demandSpan {
			delete(s.asking, entry)
			continue
		}
		s.demanded += d.rate
	}
}

// divide returns how many tokens an entry gets: what it wants, but of scarce tokens only its part of
// them and of those that accrue until it asks again.
func (s *stock) divide(r Request, part float64, interval time.Duration) int {
	tokens := min(math.Floor(max(r.Want, 1)), math.Floor(s.balance))
	if s.balance < 2*r.Want {
		tokens = min(tokens, max(1, math.Floor(part*(s.balance+s.limit.Rate*s.share*interval.Seconds()))))
	}
	return int(max(tokens, 0))
}

const (
	// maxAskInterval is the time between two requests of an entry for the tokens of a workspace that is
	// over its limit. Entries report what they have used when they ask, so it is shorter where the
	// capacity is small: reportedShare is the share of it that accrues in the interval.
	maxAskInterval = 200 * time.Millisecond
	reportedShare  = 0.4
	// maxWait bounds the time after which a denied entry asks again.
	maxWait = 2 * time.Second
)

// askInterval returns the time between two requests of an entry for scarce tokens.
func (t Terms) askInterval(l Limit) time.Duration {
	return min(seconds(reportedShare*(t.capacity(l)+t.freeHeld(l))/l.Rate), maxAskInterval)
}

// promise returns when a denied entry is to ask again: each later than those that were denied before
// by the time in which their tokens accrue.
func (s *stock) promise(r Request, part float64, interval, now time.Duration) time.Duration {
	rate := s.limit.Rate * s.share
	if rate <= 0 {
		return unknownWait
	}
	tokens := max(1, min(r.Want, rate*part*interval.Seconds()))
	s.promised = min(max(s.promised, now-seconds(s.balance/rate))+seconds(tokens/rate), now+maxWait)
	return max(s.promised-now, 0)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Return takes back tokens that an entry did not use. Each lot is returned once, and only while it
// counts as held: its tokens were replaced after that.
func (b *Broker) Return(r Refund, now time.Duration) {
	b.advance(now)
	s := b.stocks[r.Workspace]
	if s == nil {
		return
	}
	s.dropExpired(now)
	for i := range s.granted {
		if s.granted[i].id != r.Lot || s.granted[i].quick {
			continue
		}
		returned := min(max(r.Tokens, 0), s.granted[i].tokens)
		s.granted[i].id = 0
		s.granted[i].tokens -= returned
		s.held -= float64(returned)
		s.balance += float64(returned)
		b.settle(s, now)
		return
	}
}
