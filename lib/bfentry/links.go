package bfentry

import (
	"math/rand/v2"
	"time"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflink"
	"bilberryflow.org/lib/bfpacer"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/lib/bfwalk"
)

// usesNarrowLink reports whether the answer is expected to be long and leaves the target's node over a
// narrow link. Callers beside the target are answered without it, and where there is no objective the link
// refuses nothing as late.
func (c *call) usesNarrowLink(target *bffleet.Target) bool {
	member := target.Member()
	if c.route.Objective() <= 0 || member.Inbound == c.handler.config.Inbound || bfpacer.Rate(float64(member.LinkMbps)) == 0 {
		return false
	}
	return c.route.Kind() == bftraffic.Download || c.handler.answers.Get(c.route.Name()) >= bflink.LongAnswer
}

// longAnswer is what the target's node needs to know of an answer on a narrow link, nil for others. The
// time left excludes the wait for this node's own link, over which the answer arrives.
func (c *call) longAnswer(target *bffleet.Target) *bfhost.LongAnswer {
	if !c.usesNarrowLink(target) {
		return nil
	}
	arriving := c.handler.config.Pacer.Duration(c.handler.incoming.Bytes())
	wait := max(arriving.Nanoseconds()-c.handler.runTimes.Get(c.route.Name()), 0)
	return &bfhost.LongAnswer{Left: c.timeLeft() - time.Duration(wait), Bytes: c.handler.answers.Get(c.route.Name())}
}

// isLateForLink reports whether the answer uses a narrow link and is late even without a wait. A link
// sends it only when it is free, and other targets are not asked: each refusal costs its own bytes.
func (c *call) isLateForLink(target *bffleet.Target) bool {
	return c.timeLeft().Nanoseconds() <= c.handler.runTimes.Get(c.route.Name()) && c.usesNarrowLink(target)
}

// asksOneMoreLink reports whether at most one more target is asked after a refusal by a node behind a
// narrow link.
func (c *call) asksOneMoreLink(refused bfhost.Refused) bool {
	if !c.narrowLink || c.parent != nil || !refused.Reason.LacksCapacity() {
		return false
	}
	rate := min(c.handler.localAcceptRates.Of(c.service), c.handler.remoteAcceptRates.Of(c.service))
	return !bfwalk.TriesOtherLink(rate, rand.Float64())
}

// preferRefusal returns the refusal that is reported to the caller. Of the refusals for a narrow link
// it is the one that ends first.
func (c *call) preferRefusal(a, b bfhost.Refused) bfhost.Refused {
	if c.narrowLink && a.Reason.LacksCapacity() && b.Reason.LacksCapacity() && b.RetryAfter < a.RetryAfter {
		return b
	}
	return preferFull(a, b)
}
