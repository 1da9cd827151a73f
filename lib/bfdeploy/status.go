package bfdeploy

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/lib/bfstore"
)

// progress is how far this node has come with making a status row state a state.
type progress struct {
	order bfrollout.Order
	state bfrollout.State
	// confirmed is the era of the store in which the row is known to state it, 0 for none.
	confirmed uint64
	// since is when the write became due, zero while it is not.
	since time.Time
}

const (
	// rankDelay is how much longer each node waits with a write than the one ranked before it, for
	// at most maxRank steps.
	rankDelay = 250 * time.Millisecond
	maxRank   = 12
	// verifiers is the number of nodes that check a row after a restore of the store.
	verifiers = 4
)

// keepStatus makes the status row state a state, unless it is known to do so in the present era of
// the store. Each node waits for its turn.
func (c *Conductor) keepStatus(ctx context.Context, r *bfrollout.Rollout, state bfrollout.State, nodes []bfrollout.Node) {
	order, now := r.Order(), c.config.Timer.Now()
	era := max(c.config.Era(), 1) // a store without eras counts as one in its first
	p := c.progress[order.Service]
	if p.order != order || p.state != state {
		p = progress{order: order, state: state}
	}
	rank := c.rank(order, nodes)
	// The record says that another node wrote the row. After a restore of the store only the first
	// nodes check whether it is still there.
	if recorded := r.Record(now).State == state; recorded && (p.confirmed == 0 || rank >= verifiers) {
		p.confirmed, p.since = era, time.Time{}
	}
	switch {
	case p.confirmed == era:
	case p.since.IsZero():
		p.since = now
	case now.Sub(p.since) >= time.Duration(rank)*rankDelay:
		if err := c.writeStatus(ctx, order, state); err != nil {
			c.config.Logger.Emit(bflog.RolloutStatusError, orderAttr(order), slog.String("state", state.String()), bflog.Err(err))
			break
		}
		p.confirmed, p.since = era, time.Time{}
	}
	c.progress[order.Service] = p
}

// rank is this node's place among those that may write a status, at most maxRank.
func (c *Conductor) rank(order bfrollout.Order, nodes []bfrollout.Node) int {
	rank := slices.IndexFunc(bfrollout.Ranked(order, nodes), func(n bfrollout.Node) bool { return n.Inbound == c.config.Inbound })
	if rank < 0 || rank > maxRank {
		return maxRank
	}
	return rank
}

// writeStatus writes a state to the status row. If the row holds the end of the order already,
// that end counts: it was written first, and the operator may have read it.
func (c *Conductor) writeStatus(ctx context.Context, order bfrollout.Order, state bfrollout.State) error {
	row, held, err := c.readStatus(ctx, order)
	if err != nil {
		return err
	}
	if held == state || held.IsFinal() {
		c.setState(order, held)
		return nil
	}
	value, err := c.config.Format.EncodeStatus(order.Version, state)
	if err != nil {
		return err
	}
	write := bfstore.RowWrite{Key: c.config.Format.StatusKey(order.Service), Value: value, Revision: row.Revision}
	if _, err := c.config.Rows.Write(ctx, c.config.Format.StatusTable(), write); err != nil {
		return err
	}
	c.config.Logger.Emit(bflog.RolloutStatusWritten, orderAttr(order), slog.String("state", state.String()))
	c.setState(order, state)
	return nil
}

// verify reads the state of an order that this node has read from the store with others.
func (c *Conductor) verify(ctx context.Context, order bfrollout.Order) error {
	_, state, err := c.readStatus(ctx, order)
	if err != nil {
		return err
	}
	c.setState(order, max(state, bfrollout.Ordered))
	return nil
}

func (c *Conductor) setState(order bfrollout.Order, state bfrollout.State) {
	if c.config.Book.SetState(order, state) {
		c.broadcastOwn(order)
	}
}

// readStatus reads the status row of an order's service, and the state that it has for this order:
// Unverified if there is no row or it belongs to an earlier order.
func (c *Conductor) readStatus(ctx context.Context, order bfrollout.Order) (bfstore.Entry, bfrollout.State, error) {
	entries, _, err := c.config.Rows.List(ctx, c.config.Format.StatusTable())
	if err != nil {
		return bfstore.Entry{}, bfrollout.Unverified, err
	}
	key := c.config.Format.StatusKey(order.Service)
	at := slices.IndexFunc(entries, func(e bfstore.Entry) bool { return e.Key == key && !e.Removed })
	if at < 0 {
		return bfstore.Entry{}, bfrollout.Unverified, nil
	}
	row := entries[at]
	version, state, err := c.config.Format.DecodeStatus(row.Value)
	if err != nil {
		// Overwritten by another writer, the row states nothing; the next write replaces it.
		c.config.Logger.Emit(bflog.RolloutStatusError, orderAttr(order), bflog.Err(err))
		return row, bfrollout.Unverified, nil
	}
	if version != order.Version || row.Revision.Era() == order.Revision.Era() && row.Revision < order.Revision {
		return row, bfrollout.Unverified, nil
	}
	return row, state, nil
}
