package bfdeploy

import (
	"context"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// Caller makes calls to peers; it is the subset of bfpeer.Calls that a Conductor needs.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Format translates status rows.
type Format interface {
	// StatusTable is the name of the table of the status rows, and StatusKey the key of a service's.
	StatusTable() string
	StatusKey(service string) string
	// EncodeStatus encodes a state that operators know: Running, Completed or RolledBack.
	EncodeStatus(version string, state bfrollout.State) ([]byte, error)
	// DecodeStatus decodes a status row.
	DecodeStatus(value []byte) (version string, state bfrollout.State, err error)
}

// Config holds the dependencies of a Conductor.
type Config struct {
	// Self is the node's address for calls, Inbound the one that identifies it in the fleet.
	Self, Inbound string
	Book          *bfrollout.Book
	Fleet         *bffleet.Fleet
	Calls         Caller
	Rows          bfstore.TableStore
	Format        Format
	// Era returns the era of the store.
	Era func() uint64
	// Recipients returns the peers that a changed record is sent to at once; own is set for this
	// node's own changes.
	Recipients func(own bool) []string
	Timer      *bftimer.Service
	Logger     *bflog.Logger
	// Spawn starts a goroutine in the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Conductor runs the roll-outs of a node.
type Conductor struct {
	config Config
	// progress is how far the status row of each service is; only Run uses it.
	progress  map[string]progress
	comparing atomic.Bool
	// forward is set while a record from another node awaits being forwarded, announce while an
	// order that this node has read awaits being sent.
	forward, announce atomic.Bool
	// reported is when this node last sent its counts for a service; only Run uses it.
	reported map[string]time.Time
}

// New returns the conductor of a node, which Run starts.
func New(config Config) *Conductor {
	return &Conductor{config: config, progress: map[string]progress{}, reported: map[string]time.Time{}}
}

const (
	// stepInterval is the time between two steps while a roll-out runs, and idleInterval while none
	// does.
	stepInterval = 100 * time.Millisecond
	idleInterval = time.Second
	// reportInterval is the time between two reports of a node's counts to the judges.
	reportInterval = 400 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = time.Second
)

// Observe adds an order that this node has read from the store; see bfrollout.Book.Observe.
func (c *Conductor) Observe(order bfrollout.Order, isNew bool) {
	if c.config.Book.Observe(order, isNew) {
		c.announce.Store(true)
	}
}

// Run carries out roll-outs until ctx ends.
func (c *Conductor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		active := false
		for _, r := range c.config.Book.All() {
			active = c.step(ctx, r) || active
		}
		if c.announce.Swap(false) {
			c.broadcast(c.config.Recipients(true))
		}
		if c.forward.Swap(false) {
			c.broadcast(c.config.Recipients(false))
		}
		interval := idleInterval
		if active {
			interval = stepInterval
		}
		c.wait(ctx, interval)
	}
	return nil
}

// wait waits for a changed record or the next step.
func (c *Conductor) wait(ctx context.Context, interval time.Duration) {
	timeout, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	select {
	case <-c.config.Book.Changed():
	case <-timeout.Done():
	}
}

// step does what is due for a roll-out, and reports whether more will be.
func (c *Conductor) step(ctx context.Context, r *bfrollout.Rollout) (active bool) {
	now := c.config.Timer.Now()
	order, state := r.Order(), r.Record(now).State
	if !state.IsFinal() {
		c.report(r, now)
	}
	nodes := c.nodes()
	switch action := r.Next(now, c.isJudge(order, nodes), c.capacity(order)).(type) {
	case bfrollout.Wait:
		// A restored store may lack the row.
		c.keepStatus(ctx, r, state, nodes)
	case bfrollout.Verify:
		if err := c.verify(ctx, order); err != nil {
			c.config.Logger.Emit(bflog.RolloutStatusError, orderAttr(order), bflog.Err(err))
		}
	case bfrollout.Condemn:
		if c.config.Book.Condemn(order, action.Reason) {
			c.logDecision(bflog.RolloutCondemned, r, action.Reason)
			c.broadcastOwn(order)
		}
	case bfrollout.Clear:
		if c.config.Book.Clear(order) {
			c.logDecision(bflog.RolloutCleared, r, "")
			c.broadcastOwn(order)
		}
	case bfrollout.WriteStatus:
		c.keepStatus(ctx, r, action.State, nodes)
	}
	return !state.IsFinal()
}

// nodes returns the nodes of the fleet.
func (c *Conductor) nodes() (nodes []bfrollout.Node) {
	for _, m := range c.config.Fleet.Members() {
		nodes = append(nodes, bfrollout.Node{Inbound: m.Inbound, Peer: m.Peer, Domain: m.Domain})
	}
	return nodes
}

func (c *Conductor) isJudge(order bfrollout.Order, nodes []bfrollout.Node) bool {
	for _, n := range bfrollout.Judges(order, nodes) {
		if n.Inbound == c.config.Inbound {
			return true
		}
	}
	return false
}

// capacity returns the slots of both versions of the service.
func (c *Conductor) capacity(order bfrollout.Order) (capacity bfrollout.Capacity) {
	for _, m := range c.config.Fleet.Members() {
		switch {
		case m.Service != order.Service:
		case m.Version == order.Version:
			capacity.New += m.Slots
			capacity.NewTargets++
		default:
			capacity.Old += m.Slots
		}
	}
	return capacity
}
