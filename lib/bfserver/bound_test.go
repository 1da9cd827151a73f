package bfserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfresource"
)

// listenBound serves a port on a machine of some memory; runs counts the requests whose body has arrived.
func listenBound(t *testing.T, memoryMB float64) (port *Port, budget *bfresource.Budget, runs *atomic.Int32) {
	t.Helper()
	runs = new(atomic.Int32)
	budget = bfresource.New(bfresource.NewLimits(bfresource.Machine{MemoryMB: memoryMB, Descriptors: 1000}, bfresource.Clients{}))
	port, err := Listen("inbound", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := bfresource.ReadAll(r.Body, r.ContentLength, bfresource.FromContext(r.Context())); err != nil {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		runs.Add(1)
	}), Options{Bounds: budget.NewPort(20), Exhausted: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}})
	is.New(t).NoErr(err)
	port.AllowHTTP2()
	return start(t, port, 0), budget, runs
}

// awaitNothingHeld waits until the budget holds nothing.
func awaitNothingHeld(t *testing.T, budget *bfresource.Budget) {
	t.Helper()
	for began := time.Now(); budget.Counts().Memory > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatalf("still held: %+v", budget.Counts())
		}
	}
}

// Guards against heads that take more memory than is left, before they are complete, and against what a
// connection holds after its end.
func TestIncompleteHeadWithoutMemoryIsClosed(t *testing.T) {
	is := is.New(t)
	port, budget, runs := listenBound(t, 1)
	is.Equal(firstLineOfResponse(t, port, "GET /x HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 4000)), "")
	is.Equal(firstLineOfResponse(t, port, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), "HTTP/1.1 200 OK\r\n")
	is.Equal(runs.Load(), int32(1))
	awaitNothingHeld(t, budget)
}

// Guards against a request of HTTP/2 that is run although there is no memory for it, and against a plain
// refusal where a port has its own.
func TestStreamWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	port, budget, runs := listenBound(t, 0.5)
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	send := func(lines int) (status int, header http.Header) {
		request, err := http.NewRequest(http.MethodGet, "http://"+port.Address()+"/x", nil)
		is.NoErr(err)
		for i := range lines {
			request.Header.Set(fmt.Sprintf("x%d", i), "")
		}
		response, err := transport.RoundTrip(request)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		response.Body.Close()
		return response.StatusCode, response.Header
	}
	status, _ := send(3)
	is.Equal(status, http.StatusOK)
	status, header := send(800)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get("X-Not-Run"), "1")
	is.Equal(runs.Load(), int32(1))
	transport.CloseIdleConnections()
	awaitNothingHeld(t, budget)
}

// Guards against a body between nodes that stops short of its end and keeps its memory.
func TestSlowBodyBetweenNodesIsEvicted(t *testing.T) {
	is := is.New(t)
	port, budget, runs := listenBound(t, 1)
	const size = 120_000
	post := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
	slow, err := net.Dial("tcp", port.Address())
	is.NoErr(err)
	defer slow.Close()
	_, err = io.WriteString(slow, post+strings.Repeat("x", size-1))
	is.NoErr(err)
	for began := time.Now(); budget.Counts().Memory < size && time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
	}
	time.Sleep(300 * time.Millisecond)
	is.Equal(firstLineOfResponse(t, port, post+strings.Repeat("x", size)), "HTTP/1.1 200 OK\r\n")
	answer, err := io.ReadAll(slow)
	is.True(err != nil || strings.HasPrefix(string(answer), "HTTP/1.1 418"))
	is.Equal(runs.Load(), int32(1))
	is.Equal(budget.Counts().RequestsEvicted, int64(1))
	awaitNothingHeld(t, budget)
}
