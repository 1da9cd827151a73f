package bfcaller_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfrecord"
)

// endAt has the targets end while they run a request of that path and query. The returned
// function takes those that have ended out of the fleet, as their nodes would in time.
func (w *world) endAt(target string) (retire func()) {
	var ended sync.Map
	for _, n := range w.nodes {
		n.target.does(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.RequestURI() == target {
				ended.Store(n, true)
				n.target.kill()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(rw, "ran "+r.Header.Get(order))
		})
	}
	return func() {
		ended.Range(func(at, _ any) bool {
			at.(*node).announces(true)
			return true
		})
	}
}

// Guards against retries and new requests taking a request that ends targets from one to the next.
func TestRequestUnderWhichTargetsEndIsHeld(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 6)
	entry.earn(is, 8)
	retire := w.endAt(lookUp + "?bad")
	for range 4 {
		_ = entry.ask("GET", lookUp+"?bad", "bad")
		retire()
	}
	is.Equal(w.ran("bad"), 3)
	got := entry.ask("GET", lookUp+"?bad", "bad")
	is.Equal(got.outcome, bfheader.OutcomeNotRun)
	is.True(strings.Contains(got.body, string(bfrecord.ReasonQuarantined)))
	is.True(strings.HasPrefix(got.header.Get(bfheader.RetryAfter), "30") || strings.HasPrefix(got.header.Get(bfheader.RetryAfter), "29"))
	is.Equal(entry.ask("GET", lookUp+"?good", "good").body, "ran good")
	is.Equal(w.ran("bad"), 3)
}

// Guards against a request that nobody repeats ending a target each time that its caller sends it.
func TestNominationUnderWhichTargetsEndIsHeld(t *testing.T) {
	is := is.New(t)
	w, entry := newEntry(t, bfforward.HTTP1, 6)
	retire := w.endAt(approve + "?bad")
	outcomes := map[string]int{}
	for range 6 {
		outcomes[entry.ask("POST", approve+"?bad", "bad").outcome]++
		retire()
	}
	is.Equal(outcomes, map[string]int{bfheader.OutcomeUnknown: 3, bfheader.OutcomeNotRun: 3})
	is.Equal(w.ran("bad"), 3)
	is.Equal(entry.ask("POST", approve+"?good", "good").body, "ran good")
}
