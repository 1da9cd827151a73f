package bfentry

import (
	"time"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bfoutcome"
	"bilberryflow.org/lib/bfrollout"
)

// pick chooses the next target, among those of the versions that a roll-out of the service gives
// the request.
func (c *call) pick(refusal bfhost.Refused, now time.Time) bffleet.Choice {
	c.rollout, c.selected = c.handler.config.Rollouts.Of(c.service), bfrollout.All{}
	demand := c.demand(refusal)
	if c.rollout == nil {
		return c.handler.config.Fleet.Pick(demand, now, c.tried)
	}
	c.selected = c.rollout.Select(c.route.Name(), now, c.triedNew)
	choice := c.pickSelected(demand, now)
	if choice.Target() != nil {
		return choice
	}
	switch selected := c.selected.(type) {
	case bfrollout.New:
		if !selected.Granted {
			return choice
		}
		c.returnTrial()
		c.selected = bfrollout.Old{Version: selected.Version}
		return c.pickSelected(demand, now)
	case bfrollout.Old:
		if selected.OrAny {
			c.selected = bfrollout.New{Version: selected.Version}
			return c.pickSelected(demand, now)
		}
	}
	return choice
}

// pickSelected chooses among the targets of the selected versions.
func (c *call) pickSelected(demand bffleet.Demand, now time.Time) bffleet.Choice {
	switch selected := c.selected.(type) {
	case bfrollout.New:
		c.triedNew = c.triedNew || selected.Granted
		demand.Versions = bffleet.OnlyVersion{Version: selected.Version, Window: selected.Tried}
		// The few targets that are tried may all be in other failure domains.
		demand.SameDomain = demand.SameDomain && selected.Tried == nil
	case bfrollout.Old:
		demand.Versions = bffleet.ExceptVersion{Version: selected.Version}
	}
	return c.handler.config.Fleet.Pick(demand, now, c.tried)
}

// choseVersion reports whether the target is chosen for its version, and whether that version is
// only tried.
func (c *call) choseVersion() (chosen, trial bool) {
	selected, chosen := c.selected.(bfrollout.New)
	return chosen, chosen && selected.Tried != nil
}

// returnTrial takes back a granted request that reached no target of the new version.
func (c *call) returnTrial() {
	if selected, ok := c.selected.(bfrollout.New); ok && selected.Granted {
		c.rollout.Return(c.route.Name())
		c.selected = bfrollout.All{}
	}
}

// recordVersion counts the outcome of a send for the roll-out of the service.
func (c *call) recordVersion(target *bffleet.Target, result bfhost.Result) {
	if c.rollout == nil {
		return
	}
	outcome, reached := bfoutcome.OfVersion(result)
	if !reached {
		c.returnTrial()
		return
	}
	c.rollout.Note(c.route.Name(), target.Member().Inbound, target.Member().Version, c.handler.config.Timer.Now(), outcome)
}
