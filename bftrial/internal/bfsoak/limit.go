package bfsoak

import (
	"context"
	"sync"
	"time"

	"bilberryflow.org/bftrial/internal/bfrunlog"
)

// limitedTargets is the name of the scenario in which targets name, change and withdraw limits.
const limitedTargets = "targets name limits"

// maxUnlimitedDelay is how long after a limit was withdrawn the target may get no more.
const maxUnlimitedDelay = 3 * time.Second

// nameLimit has a target name a limit for a while, and another one in the second half.
func (h *harness) nameLimit(n *nodeSlot, length time.Duration) {
	n.targetMu.Lock()
	target := n.target
	n.targetMu.Unlock()
	target.Limits().Set(2 + float64(length/(200*time.Millisecond)))
	time.Sleep(length + bfrunlog.Window)
	target.Limits().Set(1.5)
	time.Sleep(length + bfrunlog.Window)
	target.Limits().Set(0)
}

// startBurst starts as many callers again as the soak has, and returns what stops them.
func (h *harness) startBurst() (stop func()) {
	ctx, cancel := context.WithCancel(h.group.Context())
	var callers sync.WaitGroup
	for range h.options.Callers {
		callers.Add(1)
		h.group.Go("burst", func(context.Context) error {
			defer callers.Done()
			return h.runCaller(ctx)
		})
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// checkLimits checks that no target got more than the limits that it named.
func (h *harness) checkLimits() {
	for incarnation, limits := range h.runLog.AllLimits() {
		if excess, arrived, at := limits.Excess(); excess > 0 {
			h.addViolation("target %s got %d requests in %v at %v, %d more than its limit allows", incarnation, arrived, bfrunlog.Window, at.Format(time.TimeOnly), excess)
		}
	}
}

// limitTargets plays a series of limits: two targets name one each beside a burst, lost answers and
// restarts of nodes. Then one starts anew without a limit and the other withdraws its own.
func (h *harness) limitTargets(_ *nodeSlot, length time.Duration) {
	nodes := h.allNodes()
	first, second, faulty := nodes[0], nodes[1], nodes[2]
	for _, n := range nodes {
		n.target.MakeNestedCalls()
	}
	first.target.Limits().Set(6)
	second.target.Limits().Set(8.5)
	stopBurst := h.startBurst()
	h.group.Go("lose answers", func(context.Context) error {
		loseResponses(h, faulty, length/3)
		return nil
	})
	time.Sleep(length / 6)
	h.stopNode(first, 0)
	h.killNode(second, 0)
	time.Sleep(length / 6)
	second.target.Limits().Set(2.5)
	stopBurst()
	time.Sleep(length / 3)
	h.replaceTarget(first, 0)
	second.target.Limits().Set(0)
	withdrawn := time.Now()
	time.Sleep(maxUnlimitedDelay)
	for _, n := range []*nodeSlot{first, second} {
		const few = 20
		if got := n.target.Limits().ArrivalsSince(withdrawn); got < few {
			h.addViolation("target %s without a limit got %d requests in %v", n.target.ID(), got, maxUnlimitedDelay)
		}
	}
}
