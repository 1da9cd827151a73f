package bfbudget

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against the calls of routes that left the configuration taking a node's memory.
func TestCallCountsOfFormerClassesAreBounded(t *testing.T) {
	is := is.New(t)
	var h callCounts
	for i := range 2 * maxClasses {
		h.record(fmt.Sprint("class ", i), map[string]int{"service": 1})
		is.True(len(h.byClass) <= maxClasses)
	}
	h.record("in use", map[string]int{"service": 2})
	is.Equal(h.estimate("in use"), map[string]float64{"service": 2})
}
