package bfmesh

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Nodes that have yet to meet take their seeds about evenly, on their own peer port; a
// seed that can't be read stands for none.
func TestSeedPeers(t *testing.T) {
	is := is.New(t)
	m := Mesh{Seeds: []string{"10.1.0.1:8201", "10.2.0.1:8201", "10.3.0.1:8201"}}
	taken := map[string]int{}
	for i := range 300 {
		taken[m.seedPeer(fmt.Sprintf("10.%d.0.%d:7381", i%5+1, i/5+1))]++
	}
	is.Equal(len(taken), len(m.Seeds))
	for _, seed := range []string{"10.1.0.1:7381", "10.2.0.1:7381", "10.3.0.1:7381"} {
		is.True(taken[seed] > 60)
	}
	is.Equal(Mesh{}.seedPeer("10.1.0.1:7381"), "")
	is.Equal(Mesh{Seeds: []string{"nowhere"}}.seedPeer("10.1.0.1:7381"), "")
}
