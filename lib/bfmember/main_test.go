package bfmember

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write the golden files")

// TestMain fixes rapid's seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func rowGen() *rapid.Generator[Row] {
	return rapid.Custom(func(t *rapid.T) Row {
		id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
		return Row{
			ID: id, Region: "wien", Domain: "nord", Service: "portal", Peer: "10.0.0." + id,
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
			State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
			Target:      TargetState(rapid.IntRange(0, 4).Draw(t, "target")),
		}
	})
}
