package bfemulator

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflimit"
	"bilberryflow.org/lib/bfslot"
)

// admitLimited calls admitted once the limit of a node's target allows a request, else refuses it.
func (w *world) admitLimited(r *request, target *bffleet.Target, n *node, slot bfslot.Request, delay time.Duration, admitted func(bflimit.Permit)) {
	permit, err := n.limit.Admit(n.start(), bflimit.Request{Late: slot.Late, MaxWait: slot.MaxWait}, w.agenda.Now())
	switch {
	case err != nil:
		w.agenda.After(delay, func() { w.onFull(r, target) })
	case permit.Wait() > 0:
		w.agenda.After(permit.Wait(), func() { admitted(permit) })
	default:
		admitted(permit)
	}
}

// start identifies the running start of the node's target, which changes when a request crashes it.
func (n *node) start() bflimit.Start {
	return bflimit.Start{Incarnation: "target", Started: n.downUntil}
}

// observeAnswer applies what an answer of the target says about its limit, and whether it leaves.
func (w *world) observeAnswer(n *node, sent time.Time) {
	said := bflimit.Statement(bflimit.Unlimited{})
	if perSecond := w.faultFactor(faultLimit, n); perSecond > 0 {
		said = bflimit.PerSecond(perSecond)
	}
	n.limit.Observe(n.start(), said, sent, w.agenda.Now())
	n.leaving = w.faultFactor(faultLeave, n) > 0
}

// leaves reports whether the node knows that its target leaves; the fault ends with its next start.
func (w *world) leaves(n *node) bool {
	n.leaving = n.leaving && w.faultFactor(faultLeave, n) > 0
	return n.leaving
}

// recordArrival records a request that reaches a target, if that names a limit.
func (w *world) recordArrival(n *node) {
	if perSecond := w.faultFactor(faultLimit, n); perSecond > 0 {
		target := targetIndex{n.service, n.index}
		w.report.limited[target] = append(w.report.limited[target], limitedArrival{at: w.elapsed(), perSecond: perSecond})
	}
	if w.faultFactor(faultLeave, n) > 0 {
		w.report.ArrivalsAtLeaving++
	}
}

// targetIndex identifies a target by its service and its position in it.
type targetIndex struct{ service, index int }

// limitedArrival is a request that reached a target while it named a limit.
type limitedArrival struct {
	at        time.Duration
	perSecond float64
}

// LimitExcess returns the largest number of requests that a target got in a window beyond a factor
// times its largest limit in it, slack included; windows that begin less than grace after the first
// arrival under a limit don't count.
func (r *Report) LimitExcess(window, grace time.Duration, factor, slack float64) (worst float64) {
	for _, arrivals := range r.limited {
		for first, a := range arrivals {
			if a.at < arrivals[0].at+grace {
				continue
			}
			end, _ := slices.BinarySearchFunc(arrivals, a.at+window, func(b limitedArrival, at time.Duration) int { return int(b.at - at) })
			largest := 0.0
			for _, b := range arrivals[first:end] {
				largest = max(largest, b.perSecond)
			}
			worst = max(worst, float64(end-first)-factor*largest*window.Seconds()-slack)
		}
	}
	return worst
}
