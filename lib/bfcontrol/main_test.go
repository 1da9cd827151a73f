package bfcontrol

import (
	"os"
	"testing"

	"bilberryflow.org/lib/bfconfig"
)

// TestMain initializes the codec outside of any synctest bubble. Its channels are
// created at first use and could not be shared between bubbles.
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
