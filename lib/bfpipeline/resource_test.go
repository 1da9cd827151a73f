package bfpipeline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfresource"
)

// serveBound serves a port on a machine of some memory, with some connections; runs counts the requests whose
// body has arrived.
func serveBound(t *testing.T, memoryMB float64, connections int) (p *testPort, budget *bfresource.Budget, runs *atomic.Int32) {
	t.Helper()
	p, runs = &testPort{I: is.New(t)}, new(atomic.Int32)
	budget = bfresource.New(bfresource.NewLimits(bfresource.Machine{MemoryMB: memoryMB, Descriptors: 1000}, bfresource.Clients{}))
	server, err := Listen("127.0.0.1:0", Config{
		Name: "caller", Logger: bflog.Discard(), Port: budget.NewPort(connections),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := bfresource.ReadAll(r.Body, r.ContentLength, bfresource.FromContext(r.Context()))
			if err != nil {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			runs.Add(1)
			_, _ = io.WriteString(w, fmt.Sprint(len(body)))
		}),
	})
	p.NoErr(err)
	p.server = server
	group := bfgroup.New(context.Background())
	group.Go("port", server.Start)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Stop(ctx)
		p.NoErr(group.Wait())
	})
	p.connect(t)
	return p, budget, runs
}

// awaitHeld waits until the budget holds no more than the connections.
func awaitHeld(t *testing.T, budget *bfresource.Budget) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		counts := budget.Counts()
		if counts.Connections > 0 && counts.Memory%counts.Connections == 0 && counts.Memory/counts.Connections < 20<<10 || counts.Memory == 0 {
			return
		}
		if time.Since(began) > 5*time.Second {
			t.Fatalf("%d bytes held by %d connections", counts.Memory, counts.Connections)
		}
	}
}

// Guards against a head that takes more memory than is left and is parsed all the same, and against a refusal
// that doesn't tell when to come back.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	p, budget, runs := serveBound(t, 1, 10)
	p.send("GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n")
	response, err := http.ReadResponse(p.reader, nil)
	p.NoErr(err)
	defer response.Body.Close()
	p.Equal(response.StatusCode, http.StatusServiceUnavailable)
	p.True(response.Header.Get("Retry-After") != "")
	p.True(response.Close)
	p.Equal(runs.Load(), int32(0))
	p.Equal(budget.Counts().RequestsRefused, int64(1))
	p.connect(t)
	p.send(get("/x"))
	body, head := p.answer()
	p.Equal(body, "0")
	p.Equal(head.status, http.StatusOK)
	awaitHeld(t, budget)
}

// Guards against a body that stops short of its end and keeps its memory from requests that arrive, and against
// the loss of the earlier requests of a connection whose last one is evicted.
func TestSlowBodyIsEvictedForOthers(t *testing.T) {
	p, budget, runs := serveBound(t, 1, 10)
	const size = 120_000
	post := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	p.send(get("/first") + post + strings.Repeat("x", size-1))
	body, _ := p.answer()
	p.Equal(body, "0")
	slow := *p
	time.Sleep(300 * time.Millisecond)
	p.connect(t)
	p.send(post + strings.Repeat("x", size))
	body, head := p.answer()
	p.Equal(head.status, http.StatusOK)
	p.Equal(body, fmt.Sprint(size))
	_, head = slow.answer()
	p.Equal(head, answerHead{http.StatusServiceUnavailable, true})
	p.Equal(runs.Load(), int32(2))
	p.Equal(budget.Counts().RequestsEvicted, int64(1))
	slow.conn.Close()
	awaitHeld(t, budget)
}

// Guards against connections that wait in the queue of a full port, and against closing those with requests in
// progress.
func TestFullPortClosesIdleConnections(t *testing.T) {
	p, budget, _ := serveBound(t, 10, 2)
	first := *p
	p.send(get("/x"))
	_, _ = p.answer()
	p.connect(t)
	p.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n") // arrives
	busy := *p
	for began := time.Now(); budget.Counts().Connections < 2 && time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
	}
	p.connect(t)
	p.send(get("/x"))
	_, head := p.answer()
	p.Equal(head.status, http.StatusOK)
	_, head = first.answer()
	p.Equal(head, answerHead{}) // closed
	busy.send("x")
	body, _ := busy.answer()
	p.Equal(body, "1")
}
