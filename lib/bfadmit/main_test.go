package bfadmit

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files")

// TestMain fixes rapid's seed so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "400")
	os.Exit(m.Run())
}
