package bfentry

import (
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bftraffic"
)

// repeat reports whether this sending would not be there without an earlier one.
func (c *call) repeat() bool { return c.sent > 0 || c.parent != nil && c.parent.Repeat }

func (c *call) policy() bfhost.Policy {
	return bfhost.Policy{
		Class: c.route.Name(), Service: c.service, Rank: c.route.Rank(), Nested: c.parent != nil, Repeat: c.repeat(),
		Repeatable: c.route.Kind().Repeatable(), Late: c.late(), Patience: c.patience(),
		LinkPatience: c.linkPatience(),
	}
}

// linkShare is the part of its objective for which a long answer may wait for the
// link of its target's node while there are others to ask.
const linkShare = 0.4

func (c *call) linkPatience() time.Duration {
	if c.last || c.route.Kind() != bftraffic.Download {
		return 0
	}
	return time.Duration(linkShare * float64(c.route.Objective()))
}

// freshShare is the part of its objective up to which a request counts as fresh,
// however long its route takes: where targets are so slow that none is in time,
// none has to make room for another.
const freshShare = 0.3

// late reports whether the request is expected to miss its objective by the time
// that has passed. A nested call is not: what counts is the request it is nested in.
func (c *call) late() bool {
	elapsed := c.handler.parts.Timer.Now().Sub(c.arrived) + c.used
	usual := time.Duration(c.handler.times.of(c.route.Name()))
	objective := c.route.Objective()
	return c.parent == nil && float64(elapsed) > freshShare*float64(objective) && elapsed+usual > objective
}

const (
	// nestedPatience is the part of its objective for which a nested call waits
	// for a slot: its parent holds one elsewhere all the while.
	nestedPatience = 0.5
	// lastPatience is that of other requests at the last target that is asked.
	lastPatience = 0.15
)

func (c *call) patience() time.Duration {
	share := 0.0
	switch {
	case c.parent != nil:
		share = nestedPatience
	case c.last && c.waits():
		share = lastPatience
	}
	return time.Duration(share * float64(c.route.Objective()))
}

// waits reports whether the request may wait for a slot. Where all targets are
// full the others are refused at once: those that waited would be late, and the
// slots that they then take others would have had in time. A download waits at
// the node's own failure domain, since its bytes cost much on the way to another.
func (c *call) waits() bool {
	return c.route.Urgent() || c.route.Kind() == bftraffic.Download
}
