package bfcontrol

import (
	"sync"
	"testing"
	"time"
)

// fakeComparer is a Comparer that records the digests it receives.
type fakeComparer struct {
	mu   sync.Mutex
	own  uint64
	seen map[string]uint64
}

func (d *fakeComparer) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own
}

func (d *fakeComparer) set(own uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = own
}

func (d *fakeComparer) ObserveDigest(address string, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen == nil {
		d.seen = map[string]uint64{}
	}
	d.seen[address] = digest
}

func (d *fakeComparer) of(address string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen[address]
}

// A restarted member that never receives the others' quarantine digests would not
// detect that they hold requests.
func TestQuarantineDigestIsSentWithProbes(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(4)
		c.commit("n1")
		c.waitConverged(30*time.Second, "before", c.ids...)
		for _, id := range c.ids {
			c.is.Equal(c.node(id).digests.of(address("n2")), uint64(0))
		}
		c.node("n2").digests.set(7)
		time.Sleep(10 * time.Second)
		for _, id := range []string{"n1", "n3", "n4"} {
			c.is.Equal(c.node(id).digests.of(address("n2")), uint64(7)) // id
			c.is.Equal(c.node("n2").digests.of(address(id)), uint64(0)) // id
		}
	})
}
