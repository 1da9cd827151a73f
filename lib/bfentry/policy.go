package bfentry

import (
	"time"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/lib/bfwalk"
)

// policy is the policy sent with the request to the target's node.
func (c *call) policy() bfhost.Policy {
	chosen, trial := c.choseVersion()
	return bfhost.Policy{
		ChosenVersion: chosen, Trial: trial, Workspace: c.workspaceName(),
		Class: c.route.Name(), Service: c.service, Rank: c.rank(), Nested: c.parent != nil,
		Repeat: c.sent > 0, Inherited: c.parent != nil && c.parent.IsRepeat(),
		Repeatable: c.route.Kind().Repeatable(), Late: c.late(), MaxSlotWait: c.maxSlotWait(),
		MaxLinkWait: c.maxLinkWait(),
	}
}

// rank is the priority of the request at a saturated target; 0 is the highest.
func (c *call) rank() int {
	if c.workspace != nil {
		if rank, ok := c.workspace.Rank(); ok {
			return rank
		}
	}
	return c.route.Rank()
}

// workspaceName is the name of the request's workspace, "" for none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name()
}

// linkWaitShare is the share of its objective that a download may wait for the link of
// the target's node while there are other targets to try.
const linkWaitShare = 0.4

// maxLinkWait is how long the answer may wait for the link of the target's node, 0 for no limit.
func (c *call) maxLinkWait() time.Duration {
	if c.isLastTarget || c.route.Kind() != bftraffic.Download && !c.narrowLink {
		return 0
	}
	return time.Duration(linkWaitShare * float64(c.route.Objective()))
}

// neverLateShare is the part of its objective during which a request never counts as late.
// Without it, all requests would count as late and lose their slots to each other once
// targets are too slow for any of them to be in time.
const neverLateShare = 0.3

// late reports whether the request is expected to miss its objective. Nested calls never
// count as late: the objective of the outermost request applies.
func (c *call) late() bool {
	objective, left := c.route.Objective(), c.timeLeft()
	return c.parent == nil && float64(objective-left) > neverLateShare*float64(objective) && c.usualDuration() > left
}

// nestedWaitShare is the share of its objective that a nested call waits for a slot. It
// is long because the parent occupies a slot elsewhere meanwhile.
const nestedWaitShare = 0.5

// maxSlotWait is how long the request may wait for a slot.
func (c *call) maxSlotWait() time.Duration {
	if _, trial := c.choseVersion(); trial {
		// The targets of the old version have slots as well.
		return 0
	}
	if c.parent != nil {
		return time.Duration(nestedWaitShare * float64(c.route.Objective()))
	}
	if !c.mayQueue {
		return 0
	}
	return bfwalk.MaxWait(c.timeLeft(), c.usualDuration())
}

// timeLeft is the time left until the request misses its objective, negative afterwards.
func (c *call) timeLeft() time.Duration {
	return c.route.Objective() - c.usedBefore - c.handler.config.Timer.Now().Sub(c.arrived)
}

// usualDuration is the average time from a send to its answer on the request's route.
func (c *call) usualDuration() time.Duration {
	return time.Duration(c.handler.latencies.Get(c.route.Name()))
}

// retriesWhenAllFull reports whether the request is sent to the best target once more when
// all that were tried are full. This holds for urgent routes and for downloads, whose bytes
// are expensive to transfer between failure domains.
func (c *call) retriesWhenAllFull() bool {
	return c.route.Urgent() || c.route.Kind() == bftraffic.Download || c.narrowLink
}
