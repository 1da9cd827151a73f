package bfhost

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bflimit"
)

// Guards against requests for a target that has said in an answer that it leaves, also after later
// heartbeats that say ready, and against keeping them from its next start.
func TestLeavingInAnAnswerIsFinal(t *testing.T) {
	r := newFixture(t, func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(names.ExpectTarget) == "a" {
			w.Header().Set(names.Leaving, "1")
		}
		hello(w, q)
	})
	r.heartbeat("a", 1, Ready)
	r.Equal(r.run(job("1")), "200 hello")
	changes := r.changes.Load()
	r.Equal(changes, int32(2)) // its row is removed
	r.Equal(r.run(job("2")), "refused leaving")
	r.heartbeat("a", 2, Ready)
	r.Equal(r.run(job("3")), "refused leaving")
	r.heartbeat("b", 1, Ready)
	r.Equal(r.run(job("4")), "200 hello")
	r.Equal(r.run(job("5")), "200 hello")
}

// Guards against values that don't say that the target leaves.
func TestOtherValuesDoNotSayLeaving(t *testing.T) {
	for _, value := range []string{"0", "", "true", "1, 1"} {
		r := newFixture(t, func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set(names.Leaving, value)
			hello(w, q)
		})
		r.heartbeat("a", 1, Ready)
		r.Equal(r.run(job("1")), "200 hello")
		r.Equal(r.run(job("2")), "200 hello")
	}
}

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
