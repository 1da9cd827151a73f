package bfsoak

import (
	"time"

	"bilberryflow.org/bftrial/internal/bfsimtarget"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/platform/bfdialect"
)

// Names of the scenarios in which the service is moved to another version.
const (
	goodRollout = "good roll-out"
	badRollout  = "bad roll-out"
)

// The versions of the targets before a roll-out and of those that it starts.
const (
	oldVersion = "v1"
	newVersion = "v2"
)

const (
	// maxExposedShare and maxExposedSlack bound the requests that a bad version may run.
	maxExposedShare, maxExposedSlack = 0.1, 50
	// failedPercent is the share of its runs that a bad version fails.
	failedPercent = 40
)

// rollOutGoodVersion moves the service to a good version while the store is restored from a copy.
func (h *harness) rollOutGoodVersion(_ *nodeSlot, length time.Duration) {
	before := h.allNodes()
	h.rollOut(length, 0, bfrollout.Completed)
	// The platform stops the old targets at once.
	for _, n := range before {
		n.withTargetFault(func(t *bfsimtarget.Target) {
			t.Exit()
		})
	}
}

// rollOutBadVersion orders a bad version, which must be withdrawn and receive no more requests.
func (h *harness) rollOutBadVersion(_ *nodeSlot, length time.Duration) {
	h.rollOut(length, failedPercent, bfrollout.RolledBack)
	after := h.runLog.VersionCount(newVersion)
	time.Sleep(time.Second)
	if later := h.runLog.VersionCount(newVersion); later != after {
		h.addViolation("%d requests ran on a version that was rolled back", later-after)
	}
}

// rollOut starts as many nodes with targets of the new version as there are, orders the roll-out and
// checks its end. Early in it the store is restored from a copy.
func (h *harness) rollOut(length time.Duration, failedPercent int32, want bfrollout.State) {
	order, err := bfdialect.EncodeRolloutOrder(bfrollout.Order{Service: bfsimtarget.Service, Version: newVersion, Duration: length})
	h.checkError("order", err)
	oldBefore, newBefore := h.runLog.VersionCount(oldVersion), h.runLog.VersionCount(newVersion)
	h.checkError("order", h.fleet.OrderRollout(bfsimtarget.Service, order))
	began := time.Now()
	for i, before := 0, len(h.allNodes()); i < before; i++ {
		h.checkError("start of a node", h.startNodeWith(before+i, newVersion, failedPercent))
	}
	time.Sleep(length / 8)
	h.restoreStore(nil, time.Second)
	h.checkError("order again", h.fleet.OrderRollout(bfsimtarget.Service, order))
	state := h.awaitRolloutEnd(began.Add(length))
	if state != want {
		h.addViolation("roll-out: %v after %v, expected %v", state, time.Since(began), want)
	}
	if want == bfrollout.Completed {
		return
	}
	old, exposed := h.runLog.VersionCount(oldVersion)-oldBefore, h.runLog.VersionCount(newVersion)-newBefore
	if float64(exposed) > maxExposedShare*float64(old+exposed)+maxExposedSlack {
		h.addViolation("%d of %d requests ran on a bad version", exposed, old+exposed)
	}
}

// awaitRolloutEnd waits for a final status until a deadline and returns the last one.
func (h *harness) awaitRolloutEnd(deadline time.Time) (state bfrollout.State) {
	for time.Now().Before(deadline) {
		value, err := h.fleet.RolloutStatus(bfsimtarget.Service)
		if err == nil && value != nil {
			_, state, err = bfdialect.RolloutFormat{}.DecodeStatus(value)
		}
		h.checkError("status of the roll-out", err)
		if state.IsFinal() {
			return state
		}
		time.Sleep(20 * time.Millisecond)
	}
	return state
}
