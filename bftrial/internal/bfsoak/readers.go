package bfsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"bilberryflow.org/bftrial/internal/bfproxy"
	"bilberryflow.org/bftrial/internal/bfrunlog"
)

// readersSilenced is the name of the scenario in which the store answers all nodes but those that
// read it for the others.
const readersSilenced = "store silent for its readers"

// maxForwardDelay is how long after its write a version may take to a node without faults, also
// if the nodes that should forward it are cut off.
const maxForwardDelay = 2 * time.Second

// startSettleTime is how long after the fleet's start nodes may still have calls to the store
// pending that they made before they knew which of them read it.
const startSettleTime = 8 * time.Second

// silenceReaders cuts the nodes that read the store off from it, without a word, and writes a
// version, which every other node must serve in time.
func (h *harness) silenceReaders(_ *nodeSlot, length time.Duration) {
	time.Sleep(startSettleTime)
	readers := h.awaitFewReaders()
	for _, n := range readers {
		n.periods.Add(bfrunlog.FaultPeriod{From: time.Now(), To: time.Now().Add(length)})
		n.store.Set(bfproxy.Silent, 0)
		fmt.Fprintf(h.out, "%s reads the store\n", n.process.Settings().Instance)
	}
	written := time.Now()
	h.checkError("change", h.writeNextVersion())
	done := make(chan struct{})
	for _, n := range h.allNodes() {
		h.group.Go("await version", func(ctx context.Context) error {
			if !slices.Contains(readers, n) {
				h.awaitNodeVersion(ctx, n, written)
			}
			done <- struct{}{}
			return nil
		})
	}
	for range h.allNodes() {
		<-done
	}
	time.Sleep(time.Until(written.Add(length)))
	h.withStoreFault(func() {
		for _, n := range readers {
			n.store.Set(bfproxy.Pass, 0)
			n.store.Reset()
		}
	})
}

// awaitNodeVersion checks that a node serves the newest version in time.
func (h *harness) awaitNodeVersion(ctx context.Context, n *nodeSlot, written time.Time) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	h.mu.Lock()
	route := fmt.Sprintf("v%d", h.version)
	h.mu.Unlock()
	for h.sendRequest(ctx, client, n, true, route).Status != http.StatusOK {
		if ctx.Err() != nil || time.Since(written) > 2*bfrunlog.SettleTime {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(written)
	fmt.Fprintf(h.out, "%s serves the version after %v\n", n.process.Settings().Instance, took.Round(time.Millisecond))
	if took > maxForwardDelay {
		h.addViolation("node %s served the version %v after it was written", n.process.Process().Name(), took.Round(time.Millisecond))
	}
}

// awaitFewReaders waits until a few nodes read the store for the others, as after a fleet's start,
// and returns them.
func (h *harness) awaitFewReaders() []*nodeSlot {
	const few = 2
	deadline := time.Now().Add(2 * bfrunlog.SettleTime)
	for {
		readers, err := h.storeReaders()
		h.checkError("readers of the store", err)
		if err != nil || len(readers) > 0 && len(readers) <= few {
			return readers
		}
		if time.Now().After(deadline) {
			h.addViolation("%d nodes read the store", len(readers))
			return readers
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// storeReaders returns the nodes that read the store now.
func (h *harness) storeReaders() (readers []*nodeSlot, err error) {
	for _, n := range h.allNodes() {
		response, err := http.Get("http://" + n.process.Settings().Listen.Operator + "/debug/vars")
		if err != nil {
			return nil, fmt.Errorf("metrics of %s: %w", n.process.Process().Name(), err)
		}
		var page struct {
			Node struct {
				StoreFollowed int `json:"store_followed"`
			} `json:"node"`
		}
		err = json.NewDecoder(response.Body).Decode(&page)
		response.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("metrics of %s: %w", n.process.Process().Name(), err)
		}
		if page.Node.StoreFollowed == 1 {
			readers = append(readers, n)
		}
	}
	return readers, nil
}
