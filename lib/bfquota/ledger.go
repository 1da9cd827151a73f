package bfquota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bilberryflow.org/lib/bfexpiry"
)

// Ledger holds the tokens of one node's entry: those of its own entitlement, those taken from
// brokers, and what brokers have denied.
type Ledger struct {
	terms    Terms
	weakened weakness
	accounts map[string]*account
}

// account is the state of one workspace at an entry.
type account struct {
	limit Limit
	// own are the tokens of the node's own entitlement in an epoch, received up to the mark of its
	// integral.
	own, mark float64
	epoch     uint64
	lots      []heldLot
	// seen is the latest lot from seenFrom.
	seen     uint64
	seenFrom string
	// used are the tokens that requests took, and returned those whose requests did not run. Both are
	// kept for holdTime after the token was first taken.
	used, returned bfexpiry.Counts
	// demand is the decaying mean of the requests per second as of demandAt.
	demand   float64
	demandAt time.Duration
	// deniedUntil is when the broker expects further tokens, at rate per second. next is when the
	// tokens arrive that the callers refused since then are to retry for.
	deniedUntil time.Duration
	rate        float64
	next        time.Duration
}

// heldLot is a number of tokens from a broker.
type heldLot struct {
	broker string
	id     uint64
	end    time.Duration
	left   int
	// quick is set for the tokens that waiting requests use.
	quick bool
}

// NewLedger returns an empty ledger.
func NewLedger(terms Terms) *Ledger { return &Ledger{terms: terms, accounts: map[string]*account{}} }

// Own is the part of the entitlement that the node spends itself, as of a time.
type Own struct {
	// Share is the share in force, Accrued its integral over time in seconds, and Began that integral
	// when the node last began to spend it. Epoch numbers these beginnings.
	Share, Accrued, Began float64
	Epoch                 uint64
}

// Outcome is what becomes of a request. It is a sealed interface, implemented by Granted, Denied and
// Ask.
type Outcome interface{ outcome() }

// Granted lets a request pass; Local is set if the token is of the node's own entitlement.
type Granted struct{ Local bool }

// Denied refuses a request until the time given has passed.
type Denied struct{ RetryAfter time.Duration }

// Ask tells that the node has no token and asks a broker.
type Ask struct{}

func (Granted) outcome() {}
func (Denied) outcome()  {}
func (Ask) outcome()     {}

const (
	// demandDecay is the time constant of the mean demand of an entry.
	demandDecay = 500 * time.Millisecond
	// idleAfter is how long the account of a workspace without requests is kept.
	idleAfter = 10 * time.Second
)

// Take takes a token for a request.
func (l *Ledger) Take(limit Limit, own Own, now time.Duration) Outcome {
	a := l.account(limit, own, now)
	a.countDemand(now)
	return l.TakeAgain(limit, own, now)
}

// TakeAgain is Take for a request that was counted before, after a broker has answered.
func (l *Ledger) TakeAgain(limit Limit, own Own, now time.Duration) Outcome {
	a := l.account(limit, own, now)
	l.settle(a, own, now)
	if a.own >= 1 {
		a.own--
		a.used.Add(now + holdTime)
		return Granted{Local: true}
	}
	if end, ok := a.returned.Take(); ok {
		a.used.Add(end)
		return Granted{}
	}
	for i := range a.lots {
		if a.lots[i].left > 0 {
			a.lots[i].left--
			a.used.Add(now + holdTime)
			return Granted{}
		}
	}
	if now < a.deniedUntil {
		return a.deny(l.terms, now)
	}
	return Ask{}
}

// account returns the account of a workspace, with the limit in force.
func (l *Ledger) account(limit Limit, own Own, now time.Duration) *account {
	a := l.accounts[limit.Workspace]
	if a == nil {
		a = &account{limit: limit, mark: own.Began, epoch: own.Epoch, demandAt: now}
		l.accounts[limit.Workspace] = a
	}
	a.limit = limit
	return a
}

// settle adds what the own entitlement has accrued and drops tokens that have expired.
func (l *Ledger) settle(a *account, own Own, now time.Duration) {
	if a.epoch != own.Epoch {
		// What was saved before was delegated since.
		a.own, a.mark, a.epoch = 0, own.Began, own.Epoch
	}
	room := l.terms.capacity(a.limit) * own.Share
	a.own = min(a.own+(own.Accrued-a.mark)*a.limit.Rate, room)
	a.mark = own.Accrued
	if l.weakened.noExpiry {
		return
	}
	a.lots = slices.DeleteFunc(a.lots, func(h heldLot) bool { return now >= h.end || h.left == 0 })
	a.used.DropExpired(now)
	a.returned.DropExpired(now)
}

// countDemand counts one request for the mean demand.
func (a *account) countDemand(now time.Duration) {
	a.demand = a.demandNow(now) + 1/demandDecay.Seconds()
	a.demandAt = now
}

// demandNow returns the mean demand in requests per second.
func (a *account) demandNow(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandDecay.Seconds())
}

// deny returns a refusal whose Retry-After follows those of the requests refused before, so that
// callers don't return all at once. It is bounded, since some callers don't return.
func (a *account) deny(terms Terms, now time.Duration) Denied {
	at := max(a.next, a.deniedUntil)
	a.next = at
	if a.rate > 0 {
		a.next = min(at+seconds(1/a.rate), max(now+terms.Window, a.deniedUntil))
	}
	return Denied{RetryAfter: max(at-now, time.Millisecond)}
}

// lotShare is the part of the holding time for which a lot is meant to last.
const lotShare = 0.5

// Request returns what to ask a broker for. waiting is the number of requests that wait for the
// answer.
func (l *Ledger) Request(entry, broker string, limit Limit, waiting int, now time.Duration) Request {
	r := Request{Entry: entry, Workspace: limit.Workspace, Want: float64(max(waiting, 1)), Waiting: waiting}
	if a := l.accounts[limit.Workspace]; a != nil {
		r.Demand = math.Round(a.demandNow(now)*100) / 100
		if a.seenFrom == broker {
			r.Seen, r.Left = a.seen, a.leftOf(broker)
		}
		r.Want = max(r.Want, math.Floor(r.Demand*holdTime.Seconds()*lotShare))
	}
	return r
}

// leftOf returns the number of tokens of a broker that the entry holds, without those that requests
// wait for.
func (a *account) leftOf(broker string) (left int) {
	for _, h := range a.lots {
		if h.broker == broker && !h.quick {
			left += h.left
		}
	}
	return left
}

// oldLots is the largest difference between the numbers of two lots of one broker process: those of
// another process begin elsewhere.
const oldLots = 1 << 32

// Record records a broker's answer to a request that was sent at a time.
func (l *Ledger) Record(broker string, limit Limit, r Request, g Grant, sent, now time.Duration) {
	a := l.accounts[limit.Workspace]
	if a == nil {
		return
	}
	isOld := a.seenFrom == broker && g.Lot <= a.seen && a.seen-g.Lot < oldLots
	if g.Tokens > 0 && !isOld {
		a.seen, a.seenFrom = g.Lot, broker
		quick := min(r.Waiting, g.Tokens)
		a.lots = append(a.lots,
			heldLot{broker: broker, id: g.Lot, end: sent + quickHold, left: quick, quick: true},
			heldLot{broker: broker, id: g.Lot, end: sent + holdTime, left: g.Tokens - quick})
	}
	if g.WaitMS > 0 {
		a.deniedUntil = now + fromMilliseconds(g.WaitMS)
		a.rate = g.Rate
	}
}

// Fail records that no broker answered: requests are refused for a while, since another question
// would take as long.
func (l *Ledger) Fail(limit Limit, now time.Duration) {
	if a := l.accounts[limit.Workspace]; a != nil {
		a.deniedUntil = max(a.deniedUntil, now+unknownWait)
		a.rate = 0
	}
}

// Status is what an entry holds of the quota of a workspace.
type Status struct {
	// Tokens is the number of requests that pass without asking a broker.
	Tokens int
	// DeniedFor is how long requests are refused without asking, 0 if they are not.
	DeniedFor time.Duration
}

// Status returns what the node holds of the quota of a workspace.
func (l *Ledger) Status(workspace string, own Own, now time.Duration) Status {
	a := l.accounts[workspace]
	if a == nil {
		return Status{}
	}
	l.settle(a, own, now)
	status := Status{Tokens: int(a.own) + a.returned.Count()}
	for _, lot := range a.lots {
		status.Tokens += lot.left
	}
	if status.Tokens == 0 {
		status.DeniedFor = max(a.deniedUntil-now, 0)
	}
	return status
}

// Return takes back the token of a request that did not run. Another request may use it until holdTime
// after it was first taken, however often it is returned: the broker grants as many again meanwhile.
func (l *Ledger) Return(limit Limit, now time.Duration) {
	a := l.accounts[limit.Workspace]
	if a == nil {
		return
	}
	a.used.DropExpired(now)
	if end, ok := a.used.Take(); ok {
		a.returned.Add(end)
	}
}

// BrokerRefund is a refund and the broker that it is for.
type BrokerRefund struct {
	Broker string
	Refund Refund
}

// refundBefore is the share of the holding time before the end of a lot at which its remaining tokens
// are returned.
const refundBefore = 0.4

// Refunds removes and returns the tokens that the node will likely not use before they expire, and
// drops accounts that are idle while the node spends nothing itself.
func (l *Ledger) Refunds(own Own, now time.Duration) (refunds []BrokerRefund) {
	for name, a := range l.accounts {
		soon := now + time.Duration(float64(holdTime)*refundBefore)
		for i := range a.lots {
			h := &a.lots[i]
			if h.left > 0 && !h.quick && now < h.end && h.end <= soon {
				refunds = append(refunds, BrokerRefund{h.broker, Refund{Workspace: name, Lot: h.id, Tokens: h.left}})
				h.left = 0
			}
		}
		if own.Share == 0 && now-a.demandAt > idleAfter {
			delete(l.accounts, name)
		}
	}
	slices.SortFunc(refunds, func(x, y BrokerRefund) int { return cmp.Compare(x.Refund.Lot, y.Refund.Lot) })
	return refunds
}
