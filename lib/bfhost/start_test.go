package bfhost

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bflimit"
)

// Guards against an entry that takes another start for the one that leaves.
func TestLeavingStartBetweenNodes(t *testing.T) {
	is := is.New(t)
	for _, start := range []bflimit.Start{{}, {Incarnation: "i-1"}, {Incarnation: "i 1", Started: time.UnixMilli(1234)}} {
		header := http.Header{}
		WriteLeaving(header, start)
		is.Equal(ReadLeaving(header), start)
	}
	for _, malformed := range []string{"x i-1", "1", "1 "} {
		is.Equal(ReadLeaving(http.Header{"Bilberry-Target-Leaving": {malformed}}), bflimit.Start{})
	}
}

// Guards against a limit that changes on the way between nodes, and against a malformed one.
func TestLimitBetweenNodes(t *testing.T) {
	is := is.New(t)
	for _, known := range []bflimit.Known{
		{},
		{Start: bflimit.Start{Incarnation: "i-1"}, Limit: bflimit.PerSecond(7.4)},
		{Start: bflimit.Start{Incarnation: "i 1", Started: time.UnixMilli(1234)}, Limit: bflimit.PerSecond(0)},
	} {
		header := http.Header{}
		WriteLimit(header, known)
		is.Equal(ReadLimit(header), known)
	}
	for _, malformed := range []string{"7.4", "7.4 0", "x 0 i-1", "7.4 x i-1"} {
		is.Equal(ReadLimit(http.Header{"Bilberry-Target-Limit": {malformed}}), bflimit.Known{})
	}
}
