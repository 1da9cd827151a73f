package bfcaller_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfheader"
)

// repeatRefusals serves a connection by hand: each second request of it runs, and the answer that the one
// before it has not run is repeated first.
func repeatRefusals(ran func(name string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		for {
			id := r.Header.Get(bfheader.RequestID)
			refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", bfheader.RequestID, id, bfheader.Outcome, bfheader.OutcomeNotRun)
			_, _ = io.WriteString(c, refusal)
			if r, err = http.ReadRequest(buffered.Reader); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			ran(r.Header.Get(order))
			_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran", refusal, bfheader.RequestID, r.Header.Get(bfheader.RequestID))
			if r, err = http.ReadRequest(buffered.Reader); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
}

// Guards against promising that a request has not run by an answer to the request before it.
func TestRepeatedRefusalIsNotThatOfTheNextRequest(t *testing.T) {
	is := is.New(t)
	_, entry := newEntry(t, bfforward.HTTP1, 1)
	var ran sync.Map
	entry.cluster.nodes[1].target.setHandler(repeatRefusals(func(name string) { ran.Store(name, true) }))
	for i := range 20 {
		name := fmt.Sprint("order-", i)
		got := entry.send("POST", approve, name)
		_, hasRun := ran.Load(name)
		is.True(!hasRun || got.outcome != bfheader.OutcomeNotRun) // what ran is not refused
	}
}

// Guards against promising that a request has not run by an answer that doesn't say to which request.
func TestRefusalWithoutIDIsNoPromise(t *testing.T) {
	is := is.New(t)
	_, entry := newEntry(t, bfforward.HTTP1, 1)
	entry.cluster.nodes[1].target.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(bfheader.Outcome, bfheader.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	is.Equal(entry.send("POST", approve, "order").outcome, bfheader.OutcomeUnknown)
	is.Equal(entry.send("GET", lookUp, "order").outcome, bfheader.OutcomeNotRun) // it may run more than once
}
