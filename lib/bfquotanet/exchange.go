package bfquotanet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfquota"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// Caller makes calls to peers; it is the subset of bfpeer.Calls that an Exchange needs.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds the dependencies of an Exchange.
type Config struct {
	// Self is the node's address for calls, which identifies it as an entry and as a broker. Member
	// identifies it among the members.
	Self, Member string
	Terms        bfquota.Terms
	// Clock returns the time since an arbitrary moment, including the time for which the machine was
	// suspended.
	Clock func() time.Duration
	Calls Caller
	// Members returns the number of members and whether the node is one of them. It reports false for
	// known before the node knows any.
	Members func() (count int, isMember, known bool)
	// Proven reports whether the members are known to be up to date with the store.
	Proven func() bool
	// Brokers returns the addresses of the nodes that may be brokers, by preference.
	Brokers func() []string
	Traffic *bftraffic.Holder
	Timer   *bftimer.Service
	Metrics *bfmetric.Registry
	// Spawn starts a goroutine in the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

const (
	// tickInterval is how often the members are observed and unused tokens are returned.
	tickInterval = 100 * time.Millisecond
	// answerTimeout is how long a request waits for tokens. Packets between failure domains take
	// milliseconds.
	answerTimeout = 100 * time.Millisecond
	// callTimeout bounds a call. It is longer than answerTimeout, since a timeout closes the
	// connection, which other calls share; the tokens of a late answer serve later requests.
	callTimeout = time.Second
	// maxRounds bounds the calls that one request waits for: others may use up the tokens of the first.
	maxRounds = 3
)

// Exchange takes and grants the tokens of a node. It is safe for concurrent use.
type Exchange struct {
	config Config

	mu        sync.Mutex
	ledger    *bfquota.Ledger
	delegator *bfquota.Delegator
	broker    *bfquota.Broker
	// asking holds the calls for tokens in progress by workspace.
	asking map[string]*question
	// configured is the configuration that the broker has the limits of.
	configured *bftraffic.Snapshot
	renewAt    time.Duration

	taken, denied, calls, local *bfmetric.Counter
}

// question is a call for the tokens of a workspace.
type question struct {
	answered chan struct{}
	// waiting is the number of requests that wait for it.
	waiting int
}

// New returns the exchange of a node that starts now. Run delegates its entitlement.
func New(config Config) *Exchange {
	process, start := rand.Uint64()>>1|1, bfquota.NewStart(rand.Int64N)
	counter := config.Metrics.Counter
	return &Exchange{
		config: config, ledger: bfquota.NewLedger(config.Terms), asking: map[string]*question{},
		delegator: bfquota.NewDelegator(bfquota.DelegatorConfig{Member: config.Member, Process: process, Terms: config.Terms, Start: config.Clock()}),
		broker:    bfquota.NewBroker(bfquota.BrokerConfig{Self: config.Self, Terms: config.Terms, Process: process, Start: start}),
		taken:     counter("quota_taken"), denied: counter("quota_denied"), calls: counter("quota_calls"), local: counter("quota_local"),
	}
}

// limitOf returns the limit of a workspace.
func limitOf(w *bftraffic.Workspace) bfquota.Limit {
	return bfquota.Limit{Workspace: w.Name(), Rate: float64(w.Rate()), Burst: float64(w.Burst())}
}

// Take counts a request against the quota of its workspace. It waits for a broker only if the node has
// no token left.
func (e *Exchange) Take(ctx context.Context, w *bftraffic.Workspace) (retryAfter time.Duration, ok bool) {
	if w.Rate() <= 0 {
		return 0, true
	}
	limit := limitOf(w)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock()
	outcome := e.ledger.Take(limit, e.delegator.Own(now), now)
	for range maxRounds {
		if _, asks := outcome.(bfquota.Ask); !asks {
			break
		}
		if !e.await(ctx, limit) {
			if ctx.Err() != nil {
				// The caller has left; that says nothing about the broker.
				break
			}
			e.ledger.Fail(limit, e.config.Clock())
		}
		now = e.config.Clock()
		outcome = e.ledger.TakeAgain(limit, e.delegator.Own(now), now)
	}
	return e.count(outcome)
}

// count counts the outcome of a request and returns the result of Take.
func (e *Exchange) count(outcome bfquota.Outcome) (retryAfter time.Duration, ok bool) {
	switch outcome := outcome.(type) {
	case bfquota.Granted:
		e.taken.Add(1)
		if outcome.Local {
			e.local.Add(1)
		}
		return 0, true
	case bfquota.Denied:
		e.denied.Add(1)
		return outcome.RetryAfter, false
	}
	// Others have used up what several calls brought.
	e.denied.Add(1)
	return answerTimeout, false
}

// await waits for the answer of a broker, which it asks unless a call is in progress. It reports false
// if there was no answer in time. The caller must hold mu, which is released meanwhile.
func (e *Exchange) await(ctx context.Context, limit bfquota.Limit) bool {
	q := e.asking[limit.Workspace]
	if q == nil {
		q = e.ask(limit)
	}
	q.waiting++
	defer func() { q.waiting-- }()
	e.mu.Unlock()
	defer e.mu.Lock()
	waiting, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	select {
	case <-q.answered:
		return true
	case <-waiting.Done():
		return false
	}
}

// ask starts a call for the tokens of a workspace. The caller must hold mu.
func (e *Exchange) ask(limit bfquota.Limit) *question {
	q := &question{answered: make(chan struct{})}
	e.asking[limit.Workspace] = q
	sent := e.config.Clock()
	broker := bfquota.Owner(limit.Workspace, e.delegator.List())
	request := e.ledger.Request(e.config.Self, broker, limit, 1, sent)
	if broker == e.config.Self || broker == "" {
		e.answer(q, broker, limit, request, e.grantOwn(broker, request, sent), sent)
		return q
	}
	e.calls.Add(1)
	e.config.Spawn("take quota", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var grant *bfquota.Grant
		if e.config.Calls.Call(ctx, broker, takeMethod, request, &grant) != nil {
			grant = nil
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.answer(q, broker, limit, request, grant, sent)
		return nil
	})
	return q
}

// grantOwn asks this node's own broker, and returns nil if there is no broker.
func (e *Exchange) grantOwn(broker string, request bfquota.Request, now time.Duration) *bfquota.Grant {
	if broker == "" {
		return nil
	}
	e.configure(now)
	grant := e.broker.Take(request, now)
	return &grant
}

// answer records the answer of a broker, nil for none, and wakes the requests that wait for it. The
// caller must hold mu.
func (e *Exchange) answer(q *question, broker string, limit bfquota.Limit, request bfquota.Request, grant *bfquota.Grant, sent time.Duration) {
	delete(e.asking, limit.Workspace)
	close(q.answered)
	if grant == nil {
		e.ledger.Fail(limit, e.config.Clock())
		return
	}
	e.ledger.Record(broker, limit, request, *grant, sent, e.config.Clock())
}

// Status returns what this node holds of the quota of a workspace, for operators.
func (e *Exchange) Status(workspace string) bfquota.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock()
	return e.ledger.Status(workspace, e.delegator.Own(now), now)
}

// Return gives back the token of a request that has not run.
func (e *Exchange) Return(w *bftraffic.Workspace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Return(limitOf(w), e.config.Clock())
}

// Run delegates the node's entitlement until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	for e.config.Timer.Wait(ctx, tickInterval) == nil {
		e.tick()
	}
	return nil
}

// tick observes the members, renews the leases that are due and returns unused tokens.
func (e *Exchange) tick() {
	count, isMember, known := e.config.Members()
	if !known {
		return
	}
	proven, brokers := e.config.Proven(), e.config.Brokers()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock()
	e.configure(now)
	e.broker.ObserveMembers(count, now)
	e.delegator.ObserveMembers(count, isMember, proven, brokers, now)
	if now >= e.renewAt || e.delegator.IsDueNow() {
		// Without the jitter all nodes that started together would send together.
		const jitter = 0.1
		e.renewAt = now + time.Duration(float64(bfquota.RenewInterval(e.delegator.Nodes(now)))*(1-jitter*rand.Float64())) - tickInterval/2
		for _, m := range e.delegator.Messages(now) {
			e.delegate(m, now)
		}
	}
	for _, r := range e.ledger.Refunds(e.delegator.Own(now), now) {
		e.refund(r, now)
	}
}

// delegate sends a delegation without waiting for the answer. The caller must hold mu.
func (e *Exchange) delegate(m bfquota.Message, now time.Duration) {
	if m.Broker == e.config.Self {
		e.answered(m, e.broker.Delegate(m.Delegation, now), now)
		return
	}
	e.config.Spawn("delegate quota", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var receipt bfquota.Receipt
		if e.config.Calls.Call(ctx, m.Broker, delegateMethod, m.Delegation, &receipt) != nil {
			return nil
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.answered(m, receipt, e.config.Clock())
		return nil
	})
}

// answered records the answer to a delegation. After the first one of a broker the next is due at once,
// since the broker takes none without an answer of its own. The caller must hold mu.
func (e *Exchange) answered(m bfquota.Message, receipt bfquota.Receipt, now time.Duration) {
	if e.delegator.Answered(m.Broker, m.Delegation.Seq, receipt, now) {
		e.renewAt = now
	}
}

// refund returns tokens without waiting for the answer: those that are lost are granted again after
// their expiry. The caller must hold mu.
func (e *Exchange) refund(r bfquota.BrokerRefund, now time.Duration) {
	if r.Broker == e.config.Self {
		e.broker.Return(r.Refund, now)
		return
	}
	e.config.Spawn("return quota", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var ignored struct{}
		_ = e.config.Calls.Call(ctx, r.Broker, returnMethod, r.Refund, &ignored)
		return nil
	})
}

// configure gives the broker the limits of the configuration in force. The caller must hold mu.
func (e *Exchange) configure(now time.Duration) {
	snapshot := e.config.Traffic.Current()
	if snapshot == e.configured {
		return
	}
	e.configured = snapshot
	var limits []bfquota.Limit
	if snapshot != nil {
		for _, w := range snapshot.Workspaces() {
			limits = append(limits, limitOf(w))
		}
	}
	e.broker.Configure(limits, now)
}
