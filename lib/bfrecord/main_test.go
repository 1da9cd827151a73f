package bfrecord

import (
	"flag"
	"os"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files")

// TestMain fixes rapid's seed so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	home1 = NodeIncarnation{Instance: "order-desk-1", Incarnation: 1}
	home2 = NodeIncarnation{Instance: "order-desk-1", Incarnation: 2}
	entry = NodeIncarnation{Instance: "portal-core-4", Incarnation: 7}
)

func request(id ID, home NodeIncarnation) Request {
	return Request{ID: id, Home: home, Content: Digest{1}, Class: "nomination"}
}
