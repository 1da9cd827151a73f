package bfentry

import (
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/lib/bfwalk"
)

func (c *call) policy() bfhost.Policy {
	return bfhost.Policy{
		Class: c.route.Name(), Service: c.service, Rank: c.route.Rank(), Nested: c.parent != nil,
		Repeat: c.sent > 0, Inherited: c.parent != nil && c.parent.IsRepeat(),
		Repeatable: c.route.Kind().Repeatable(), Late: c.late(), MaxSlotWait: c.patience(),
		MaxLinkWait: c.linkPatience(),
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
	objective, left := c.route.Objective(), c.left()
	return c.parent == nil && float64(objective-left) > freshShare*float64(objective) && c.usual() > left
}

// nestedPatience is the part of its objective for which a nested call waits for a
// slot: its parent holds one elsewhere all the while.
const nestedPatience = 0.5

// patience is how long the request may wait for a slot.
func (c *call) patience() time.Duration {
	if c.parent != nil {
		return time.Duration(nestedPatience * float64(c.route.Objective()))
	}
	if !c.waits {
		return 0
	}
	return bfwalk.Patience(c.left(), c.usual())
}

// left is what is left of the request's objective, below 0 once it is missed.
func (c *call) left() time.Duration {
	return c.route.Objective() - c.used - c.handler.parts.Timer.Now().Sub(c.arrived)
}

// usual is how long a request of the route takes from its sending to its answer.
func (c *call) usual() time.Duration {
	return time.Duration(c.handler.times.of(c.route.Name()))
}

// asksAgain reports whether the request goes to the best target once more when all that
// were asked are full. A download does, since its bytes cost much on the way to
// another domain.
func (c *call) asksAgain() bool {
	return c.route.Urgent() || c.route.Kind() == bftraffic.Download
}
