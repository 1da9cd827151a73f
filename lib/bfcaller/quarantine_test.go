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

// crashOn makes each target crash when it runs a request with that path and query.
// The returned function marks the crashed targets as leaving.
func (c *cluster) crashOn(target string) (retire func()) {
	var crashed sync.Map
	for _, n := range c.nodes {
		n.target.setHandler(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.RequestURI() == target {
				crashed.Store(n, true)
				n.target.kill()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(rw, "ran "+r.Header.Get(order))
		})
	}
	return func() {
		crashed.Range(func(at, _ any) bool {
			at.(*node).announceTarget(true)
			return true
		})
	}
}

// Guards against retries and new requests that crash one target after the other.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 6)
	entry.earnRetries(is, 8)
	retire := cluster.crashOn(lookUp + "?bad")
	for range 4 {
		_ = entry.send("GET", lookUp+"?bad", "bad")
		retire()
	}
	is.Equal(cluster.runCount("bad"), 3)
	got := entry.send("GET", lookUp+"?bad", "bad")
	is.Equal(got.outcome, bfheader.OutcomeNotRun)
	is.True(strings.Contains(got.body, string(bfrecord.ReasonQuarantined)))
	is.True(strings.HasPrefix(got.header.Get(bfheader.RetryAfter), "30") || strings.HasPrefix(got.header.Get(bfheader.RetryAfter), "29"))
	is.Equal(entry.send("GET", lookUp+"?good", "good").body, "ran good")
	is.Equal(cluster.runCount("bad"), 3)
}

// Guards against a request that is never retried crashing a target each time a caller sends it.
func TestCrashingNominationIsQuarantined(t *testing.T) {
	is := is.New(t)
	cluster, entry := newEntry(t, bfforward.HTTP1, 6)
	retire := cluster.crashOn(approve + "?bad")
	outcomes := map[string]int{}
	for range 6 {
		outcomes[entry.send("POST", approve+"?bad", "bad").outcome]++
		retire()
	}
	is.Equal(outcomes, map[string]int{bfheader.OutcomeUnknown: 3, bfheader.OutcomeNotRun: 3})
	is.Equal(cluster.runCount("bad"), 3)
	is.Equal(entry.send("POST", approve+"?good", "good").body, "ran good")
}
