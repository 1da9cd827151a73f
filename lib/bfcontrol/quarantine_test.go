package bfcontrol

import (
	"sync"
	"testing"
	"time"
)

// digests is a Comparer that keeps what it saw.
type digests struct {
	mu   sync.Mutex
	own  uint64
	seen map[string]uint64
}

func (d *digests) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own
}

func (d *digests) set(own uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = own
}

func (d *digests) ObserveDigest(address string, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = map[string]uint64{}
	}
	d.seen[address] = digest
}

func (d *digests) of(address string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen[address]
}

// Guards against a member that was started anew never finding out that others hold requests.
func TestDigestOfTheQuarantineRidesOnProbes(t *testing.T) {
	run(t, func(w *world) {
		w.fleet(4)
		w.commit("n1")
		w.await(30*time.Second, "before", w.ids...)
		for _, id := range w.ids {
			w.is.Equal(w.node(id).digests.of(address("n2")), uint64(0))
		}
		w.node("n2").digests.set(7)
		time.Sleep(10 * time.Second)
		for _, id := range []string{"n1", "n3", "n4"} {
			w.is.Equal(w.node(id).digests.of(address("n2")), uint64(7)) // id
			w.is.Equal(w.node("n2").digests.of(address(id)), uint64(0)) // id
		}
	})
}
