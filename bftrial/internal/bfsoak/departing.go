package bfsoak

import (
	"context"
	"fmt"
	"time"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/bftrial/internal/bfproxy"
	"bilberryflow.org/bftrial/internal/bfsimtarget"
)

// Names of the scenarios in which targets depart.
const (
	lateHeartbeats = "late heartbeats of departed targets"
	storedRows     = "targets depart while the store is down"
	departingOnly  = "targets depart, nodes run on"
	storeLost      = "targets depart, then the store is down"
	turnedAway     = "targets depart, the store refuses their nodes"
)

// departure is how the target of a node departs.
type departure struct {
	announced bool
	// late is the number of heartbeats that arrive after the departure.
	late int
	// storeDown is set if the store is down when the target departs, storeLost if it is from the
	// acknowledgement on.
	storeDown, storeLost bool
	// refused is set if the store refuses the node from before the departure until the target has ended.
	refused bool
	// restart restarts the node once the departure was acknowledged; nil for no restart.
	restart func(*harness, *nodeSlot, time.Duration)
	// delay is the time from the acknowledgement to the restart.
	delay time.Duration
}

const (
	// rosterDelay is how long after their start all nodes know all members.
	rosterDelay = 2 * time.Second
	// departureOutage is how long the store is down around a departure.
	departureOutage = 1500 * time.Millisecond
	// lostOutage is how long the store is down after a departure, longer than late heartbeats take.
	lostOutage = 6 * time.Second
	// maxRefusedAckDelay is how long the departure may stay without acknowledgement while the store serves the
	// other nodes.
	maxRefusedAckDelay = 2 * time.Second
	// maxAckDelay is how long a departure may stay without acknowledgement while the store works.
	maxAckDelay = 4 * time.Second
)

// depart has the target of a node depart and start anew. The error is that of a departure that was not
// acknowledged.
func (h *harness) depart(n *nodeSlot, d departure) (err error) {
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	n.periods.During(true, func() {
		limit := maxAckDelay
		if d.storeDown {
			limit += departureOutage
			h.takeStoreDown(departureOutage)
		}
		if d.storeLost {
			// Another target may have departed before.
			limit += lostOutage
		}
		if d.refused {
			limit = maxRefusedAckDelay
			n.store.Set(bfproxy.Refuse, 0)
			n.store.Reset()
			defer func() {
				n.store.Set(bfproxy.Pass, 0)
				h.extendStoreFault(time.Now())
			}()
		}
		err = n.target.Depart(h.group.Context(), bfsimtarget.Departure{
			Announced: d.announced, Late: d.late, AckLimit: limit,
			Acknowledged: func() {
				if d.storeLost {
					h.takeStoreDown(lostOutage)
				}
				if d.restart != nil {
					time.Sleep(d.delay)
					d.restart(h, n, 0)
				}
			},
		})
		h.startNext(n)
	})
	return err
}

// takeStoreDown has the store answer nobody for a time.
func (h *harness) takeStoreDown(length time.Duration) {
	h.checkError("platform fault", h.fleet.EnableFault(bffleet.Fault{Mode: "down", For: length.String()}))
	h.extendStoreFault(time.Now().Add(length))
}

// departInTurn returns the scenario in which the targets of two nodes at a time depart.
func departInTurn(cases ...departure) func(*harness, *nodeSlot, time.Duration) {
	return func(h *harness, _ *nodeSlot, length time.Duration) {
		time.Sleep(rosterDelay)
		for began, at := time.Now(), 0; time.Since(began) < length; {
			done := make(chan struct{}, 2)
			for range cap(done) {
				n, d := h.allNodes()[at%len(h.allNodes())], cases[at%len(cases)]
				at++
				d.delay = time.Duration(h.rand.IntN(400)) * time.Millisecond
				fmt.Fprintf(h.out, "%6.2f target of %s departs: %+v\n", time.Since(began).Seconds(), n.process.Settings().Instance, d)
				h.group.Go("departure", func(context.Context) error {
					h.checkError("departure of a target", h.depart(n, d))
					done <- struct{}{}
					return nil
				})
				time.Sleep(time.Duration(h.rand.IntN(600)) * time.Millisecond)
			}
			for range cap(done) {
				<-done
			}
		}
	}
}
