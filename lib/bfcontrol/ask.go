package bfcontrol

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfroster"
)

// PublishDelta tells of a version that this node's commit made.
func (c *Control) PublishDelta(ctx context.Context, delta []byte) error {
	return c.loop.Ask(ctx, func(now time.Time) { c.spreadActions(now, "", c.spreader.Committed(now, delta)) })
}

// Census asks the whole fleet what is in force.
func (c *Control) Census(ctx context.Context, wait time.Duration) (bfcount.Tally, error) {
	answer := make(chan bfcount.Tally, 1)
	err := c.loop.Ask(ctx, func(now time.Time) {
		id, actions := c.spreader.Census(now, wait)
		c.census[id] = func(t bfcount.Tally) { answer <- t }
		c.spreadActions(now, "", actions)
	})
	if err != nil {
		return bfcount.Tally{}, err
	}
	select {
	case tally := <-answer:
		return tally, nil
	case <-ctx.Done():
		return bfcount.Tally{}, ctx.Err()
	}
}

// KnownVersions tells the newest version each member was heard to hold, and how long ago.
func (c *Control) KnownVersions(ctx context.Context) (map[uint64]bfconfig.Version, map[uint64]time.Duration, error) {
	versions, ages := map[uint64]bfconfig.Version{}, map[uint64]time.Duration{}
	err := c.loop.Ask(ctx, func(now time.Time) {
		for hash, head := range c.heard {
			versions[hash], ages[hash] = head.version, now.Sub(head.at)
		}
	})
	return versions, ages, err
}

// SetTarget tells the fleet of a change of the node's own target.
func (c *Control) SetTarget(ctx context.Context, state bfroster.TargetState, slots int) error {
	return c.loop.Ask(ctx, func(now time.Time) {
		c.memberActions(now, c.members.SetTarget(now, state, uint32(slots)))
	})
}

// Leave tells the fleet that the node stops.
func (c *Control) Leave(ctx context.Context) error {
	return c.loop.Ask(ctx, func(now time.Time) { c.memberActions(now, c.members.Leave(now)) })
}
