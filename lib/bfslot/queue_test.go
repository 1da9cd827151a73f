package bfslot

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the hold times of routes that left the configuration taking a node's memory.
func TestHoldsOfFormerClassesAreBounded(t *testing.T) {
	is := is.New(t)
	q := NewQueue(1)
	for i := range 2 * maxClasses {
		_, err := q.Enter(Request{})
		is.NoErr(err)
		q.Release(fmt.Sprint("class ", i), time.Second)
		is.True(len(q.meanHoldByClass) <= maxClasses)
	}
	is.Equal(q.OverallMeanHold(), time.Second) // not forgotten with the classes
}
