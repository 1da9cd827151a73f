package bfmesh

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Before the members are known, nodes distribute about evenly over the seeds, each
// seed with the node's own peer port. A seed that can't be parsed yields no peer.
func TestSeedPeers(t *testing.T) {
	is := is.New(t)
	m := MeshSettings{Seeds: []string{"10.1.0.1:8201", "10.2.0.1:8201", "10.3.0.1:8201"}}
	chosen := map[string]int{}
	for i := range 300 {
		chosen[m.seedPeer(fmt.Sprintf("10.%d.0.%d:7381", i%5+1, i/5+1))]++
	}
	is.Equal(len(chosen), len(m.Seeds))
	for _, seed := range []string{"10.1.0.1:7381", "10.2.0.1:7381", "10.3.0.1:7381"} {
		is.True(chosen[seed] > 60)
	}
	is.Equal(MeshSettings{}.seedPeer("10.1.0.1:7381"), "")
	is.Equal(MeshSettings{Seeds: []string{"nowhere"}}.seedPeer("10.1.0.1:7381"), "")
}
