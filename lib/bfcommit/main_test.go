package bfcommit

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "1000"}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
