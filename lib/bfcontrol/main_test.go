package bfcontrol

import (
	"os"
	"testing"

	"bilberryflow.org/lib/bfconfig"
)

// TestMain uses the codec once: it makes its channels at first use, and made in
// one test's bubble of fake time they could not be used in any other.
func TestMain(m *testing.M) {
	data, err := bfconfig.Empty().EncodeSnapshot()
	if err == nil {
		_, err = bfconfig.Restore(data, 0)
	}
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
