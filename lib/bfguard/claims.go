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
	// claimWindow is how long a claim waits for others to share its transaction.
	claimWindow = 4 * time.Millisecond
	// claimBatch is how many claims share one transaction at most.
	claimBatch = 64
	// keyRetention is how long the outcome of a caller's key is kept.
	keyRetention = 24 * time.Hour
	// askHomeTimeout bounds the question to another home.
	askHomeTimeout = 500 * time.Millisecond
	// claimTimeout bounds a claim, which holds a slot of the target.
	claimTimeout = time.Second
)

// claims carries out the claims of callers' keys on the platform's table.
type claims struct {
	table     bfstore.Table
	timer     *bftimer.Service
	directory *bfdirectory.Directory
	resolver  Resolver
	spawn     func(name string, fn func(ctx context.Context) error)
	logger    *bflog.Logger
	breaker   breaker
	// settling counts the claims whose end is not written yet.
	settling atomic.Int64

	mu    sync.Mutex
	group *bfclaim.Group[chan bfclaim.Event]
	flush *bftimer.Subscription
}

func newClaims(parts Parts) *claims {
	return &claims{
		table: parts.Table, timer: parts.Timer, directory: parts.Directory, resolver: parts.Resolver,
		spawn: parts.Spawn, logger: parts.Logger,
		group: bfclaim.NewGroup[chan bfclaim.Event](claimWindow, claimBatch),
	}
}

// machine is a claim or a settlement.
type machine interface {
	Next(now time.Time, event bfclaim.Event) bfclaim.Action
}

// claim claims a key for a request.
func (c *claims) claim(ctx context.Context, spec bfclaim.Spec) bfclaim.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return c.run(ctx, bfclaim.NewClaim(spec))
}

// run takes a machine to its end.
func (c *claims) run(ctx context.Context, m machine) bfclaim.Result {
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
			event = c.ask(ctx, action.Request())
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
	c.breaker.note(c.timer.Now(), err != nil)
	if err != nil {
		return bfclaim.RowRead{Err: err}
	}
	return bfclaim.RowRead{Row: rows[0]}
}

// ask asks another home about the request that holds a key.
func (c *claims) ask(ctx context.Context, request bfrecord.ResolveRequest) bfclaim.Event {
	member, found := c.directory.Member(request.Home.Instance)
	if !found {
		// It left the fleet, and nobody else knows what it did.
		return bfclaim.HomeAnswered{Resolution: bfrecord.HomeLost{}}
	}
	ctx, cancel := context.WithTimeout(ctx, askHomeTimeout)
	defer cancel()
	reply, err := c.resolver.Resolve(ctx, member.Peer, request)
	if err != nil {
		return bfclaim.HomeSilent{}
	}
	resolution, err := reply.Resolution()
	if err != nil {
		c.logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return bfclaim.HomeSilent{}
	}
	return bfclaim.HomeAnswered{Resolution: resolution}
}

// commit puts the machine's commit into the next batch and waits for its end.
func (c *claims) commit(ctx context.Context, commit bfclaim.Commit) bfclaim.Event {
	ended := make(chan bfclaim.Event, 1)
	c.mu.Lock()
	c.group.Add(c.timer.Now(), ended, commit)
	c.schedule()
	c.mu.Unlock()
	select {
	case event := <-ended:
		return event
	case <-ctx.Done():
		c.breaker.note(c.timer.Now(), true)
		return bfclaim.CommitEnded{Err: &bfstore.UnknownError{Reason: ctx.Err().Error()}}
	}
}

// schedule needs the lock.
func (c *claims) schedule() {
	at, waits := c.group.Due()
	if !waits || c.flush != nil {
		return
	}
	c.flush = c.timer.After(at.Sub(c.timer.Now()), func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.flush = nil
		for {
			batch, leaves := c.group.Take(now)
			if !leaves {
				break
			}
			c.spawn("commit claims", func(ctx context.Context) error { c.send(ctx, batch); return nil })
		}
		c.schedule()
	})
}

func (c *claims) send(ctx context.Context, batch *bfclaim.Batch[chan bfclaim.Event]) {
	err := c.table.Commit(ctx, batch.Transaction())
	var conflict *bfstore.ConflictError
	c.breaker.note(c.timer.Now(), err != nil && !errors.As(err, &conflict))
	ended, again := batch.End(err)
	for _, end := range ended {
		end.Owner() <- end.Event()
	}
	for _, rest := range again {
		c.send(ctx, rest)
	}
}

// settle writes the end of a claim, for as long as it takes.
//
// The caller has its answer already. If this node dies first the key stays
// claimed by a home that is gone, and a resend is told "unknown", which is true.
func (c *claims) settle(s *bfclaim.Settlement) {
	c.settling.Add(1)
	c.spawn("settle claim", func(ctx context.Context) error {
		defer c.settling.Add(-1)
		if settled, ended := c.run(ctx, s).(bfclaim.Settled); ended && !settled.Written() {
			c.logger.Emit(bflog.ClaimNotSettled, slog.Any("claim", s))
		}
		return nil
	})
}
