package bfsoak

import (
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/bftrial/internal/bfsimtarget"
)

// leavesInAnswers is the name of the scenario in which targets say only in their answers that they leave.
const leavesInAnswers = "targets leave by their answers"

// leaveDelay is how long a target that leaves so serves on before it exits.
const leaveDelay = 3500 * time.Millisecond

// leaving is a target that says in its answers that it leaves.
type leaving struct {
	node   *nodeSlot
	target *bfsimtarget.Target
	// process is the node's process when the target begins to leave.
	process *bffleet.Process
}

// leaveByAnswers has a target say in its answers that it leaves, exit after a while and start anew. Its
// heartbeats don't say so.
func (h *harness) leaveByAnswers(n *nodeSlot, _ time.Duration) {
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	n.periods.During(true, func() {
		h.mu.Lock()
		h.leavings = append(h.leavings, leaving{node: n, target: n.target, process: n.process.Process()})
		h.mu.Unlock()
		n.target.SayLeaving()
		time.Sleep(leaveDelay)
		n.target.Exit()
		h.startNext(n)
	})
}

// leaveInTurn has the targets of one node after the other leave.
func (h *harness) leaveInTurn(_ *nodeSlot, length time.Duration) {
	for began, at := time.Now(), 0; time.Since(began) < length; at++ {
		h.leaveByAnswers(h.allNodes()[at%len(h.allNodes())], 0)
	}
}

// checkLeavings checks that no target ran requests long after an answer had said that it leaves. A
// node that was restarted meanwhile does not know it, and may send its own callers' requests.
func (h *harness) checkLeavings() {
	for _, l := range h.leavings {
		said, ok := l.target.SaidLeaving()
		late := h.runLog.LastRun(l.target.ID()).Sub(said)
		if ok && late > maxDrainDelay && l.process == l.node.process.Process() {
			h.addViolation("target %s started a request %v after it said that it leaves", l.target.ID(), late)
		}
	}
}
