package bfcontrol

import (
	"context"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfroster"
)

// PublishDelta spreads the encoded delta of a version that this node committed.
// It fails if ctx or the loop has ended.
func (c *Control) PublishDelta(ctx context.Context, delta []byte) error {
	return c.loop.Call(ctx, func(now time.Time) { c.spreadActions(now, "", c.spreader.Committed(now, delta)) })
}

// Census counts the versions in force across the fleet, waiting at most wait.
// It fails if ctx or the loop ends first.
func (c *Control) Census(ctx context.Context, wait time.Duration) (bfcount.Tally, error) {
	answer := make(chan bfcount.Tally, 1)
	err := c.loop.Call(ctx, func(now time.Time) {
		id, actions := c.spreader.Census(now, wait)
		c.censuses[id] = func(t bfcount.Tally) { answer <- t }
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

// KnownVersions returns the newest version that each member advertised and the time
// since that advert, by the member's hash. It fails if ctx or the loop has ended.
func (c *Control) KnownVersions(ctx context.Context) (map[uint64]bfconfig.Version, map[uint64]time.Duration, error) {
	versions, ages := map[uint64]bfconfig.Version{}, map[uint64]time.Duration{}
	err := c.loop.Call(ctx, func(now time.Time) {
		for hash, head := range c.memberHeads {
			versions[hash], ages[hash] = head.version, now.Sub(head.at)
		}
	})
	return versions, ages, err
}

// SetTarget announces the state and the slots of the node's own target to the
// fleet. It fails if ctx or the loop has ended.
func (c *Control) SetTarget(ctx context.Context, state bfroster.TargetState, slots int) error {
	return c.loop.Call(ctx, func(now time.Time) {
		c.memberActions(now, c.members.SetTarget(now, state, uint32(slots)))
	})
}

// Leave announces that the node leaves the fleet. It fails if ctx or the loop has ended.
func (c *Control) Leave(ctx context.Context) error {
	return c.loop.Call(ctx, func(now time.Time) { c.memberActions(now, c.members.Leave(now)) })
}
