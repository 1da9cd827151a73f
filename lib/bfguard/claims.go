package bfguard

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfrecord/bfclaim"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

const (
	// claimWindow is how long claims are collected for one transaction.
	claimWindow = 4 * time.Millisecond
	// maxClaimBatch is the maximum number of claims in one transaction.
	maxClaimBatch = 64
	// keyRetention is how long the outcome of a caller's key is stored.
	keyRetention = 24 * time.Hour
	// resolveTimeout limits the query to another node.
	resolveTimeout = 500 * time.Millisecond
	// claimTimeout limits a claim, which holds a slot of the target.
	claimTimeout = time.Second
)

// claims executes the claims of callers' keys on the platform's table.
type claims struct {
	table     bfstore.Table
	timer     *bftimer.Service
	directory *bfdirectory.Directory
	resolver  Resolver
	spawn     func(name string, fn func(ctx context.Context) error)
	logger    *bflog.Logger
	breaker   breaker
	// settling counts the claims whose outcome is not written yet.
	settling atomic.Int64

	mu    sync.Mutex
	group *bfclaim.Batcher[chan bfclaim.Event]
	flush *bftimer.Subscription
}

func newClaims(config Config) *claims {
	return &claims{
		table: config.Table, timer: config.Timer, directory: config.Directory, resolver: config.Resolver,
		spawn: config.Spawn, logger: config.Logger,
		group: bfclaim.NewBatcher[chan bfclaim.Event](claimWindow, maxClaimBatch),
	}
}

// stateMachine is implemented by bfclaim.Claim and bfclaim.Settlement.
type stateMachine interface {
	Next(now time.Time, event bfclaim.Event) bfclaim.Action
}

// claim runs a claim of a request's key, for at most claimTimeout.
func (c *claims) claim(ctx context.Context, spec bfclaim.Spec) bfclaim.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return c.run(ctx, bfclaim.NewClaim(spec))
}

// run executes a state machine until it ends. It returns nil if ctx ended during a wait.
func (c *claims) run(ctx context.Context, m stateMachine) bfclaim.Result {
	var event bfclaim.Event = bfclaim.Start{}
	for {
		switch action := m.Next(c.timer.Now(), event).(type) {
		case bfclaim.Done:
			return action.Result()
		case bfclaim.Read:
			event = c.read(ctx, action.Key())
		case bfclaim.Commit:
			event = c.commit(ctx, action)
		case bfclaim.AskHome:
			event = c.resolve(ctx, action.Request())
		case bfclaim.Wait:
			event = bfclaim.Elapsed{}
			if c.timer.Wait(ctx, action.Duration()) != nil {
				return nil
			}
		}
	}
}

func (c *claims) read(ctx context.Context, key string) bfclaim.Event {
	rows, err := c.table.Get(ctx, key)
	c.breaker.record(c.timer.Now(), err != nil)
	if err != nil {
		return bfclaim.RowRead{Err: err}
	}
	return bfclaim.RowRead{Row: rows[0]}
}

// resolve queries the home node of the request that holds a key.
func (c *claims) resolve(ctx context.Context, request bfrecord.ResolveRequest) bfclaim.Event {
	member, found := c.directory.Member(request.Home.Instance)
	if !found {
		// The instance has left the membership, and its records with it.
		return bfclaim.HomeAnswered{Resolution: bfrecord.HomeLost{}}
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := c.resolver.Resolve(ctx, member.Peer, request)
	if err != nil {
		return bfclaim.HomeUnreachable{}
	}
	resolution, err := reply.Resolution()
	if err != nil {
		c.logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return bfclaim.HomeUnreachable{}
	}
	return bfclaim.HomeAnswered{Resolution: resolution}
}

// commit adds the commit to the next batch and waits for its result.
func (c *claims) commit(ctx context.Context, commit bfclaim.Commit) bfclaim.Event {
	result := make(chan bfclaim.Event, 1)
	c.mu.Lock()
	c.group.Add(c.timer.Now(), result, commit)
	c.schedule()
	c.mu.Unlock()
	select {
	case event := <-result:
		return event
	case <-ctx.Done():
		c.breaker.record(c.timer.Now(), true)
		return bfclaim.CommitEnded{Err: &bfstore.UnknownError{Reason: ctx.Err().Error()}}
	}
}

// schedule schedules the next flush; c.mu must be held.
func (c *claims) schedule() {
	at, pending := c.group.Due()
	if !pending || c.flush != nil {
		return
	}
	c.flush = c.timer.After(at.Sub(c.timer.Now()), func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.flush = nil
		for {
			batch, ok := c.group.Take(now)
			if !ok {
				break
			}
			c.spawn("commit claims", func(ctx context.Context) error { c.commitBatch(ctx, batch); return nil })
		}
		c.schedule()
	})
}

func (c *claims) commitBatch(ctx context.Context, batch *bfclaim.Batch[chan bfclaim.Event]) {
	err := c.table.Commit(ctx, batch.Transaction())
	var conflict *bfstore.ConflictError
	c.breaker.record(c.timer.Now(), err != nil && !errors.As(err, &conflict))
	finished, retries := batch.Complete(err)
	for _, end := range finished {
		end.Owner() <- end.Event()
	}
	for _, rest := range retries {
		c.commitBatch(ctx, rest)
	}
}

// settle writes the outcome of a claim, retrying as needed.
//
// The caller already has its response. If this node fails before the write, the row
// still names this node as the claim's holder, and a retry correctly gets "unknown".
func (c *claims) settle(s *bfclaim.Settlement) {
	c.settling.Add(1)
	c.spawn("settle claim", func(ctx context.Context) error {
		defer c.settling.Add(-1)
		if settled, ended := c.run(ctx, s).(bfclaim.Settled); ended && !settled.Written() {
			c.logger.Emit(bflog.ClaimNotRecorded, slog.Any("claim", s))
		}
		return nil
	})
}
