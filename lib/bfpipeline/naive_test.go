package bfpipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// plain answers from the request alone, with one path per kind of answer framing.
var plain = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	text := fmt.Sprintf("%s %s %s %d", r.Method, r.RequestURI, body, len(r.Header))
	switch r.URL.Path {
	case "/empty":
		w.WriteHeader(http.StatusNoContent)
	case "/stated":
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text)
	case "/long":
		_, _ = io.WriteString(w, strings.Repeat(text, 1000))
	case "/silent":
	default:
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, text)
	}
})

// For random pipelined requests, the answers and the point at which the connection closes
// equal those of net/http's server.
func TestAnswersEqualNetHTTP(t *testing.T) {
	p := serve(t, plain, Limits{})
	naive := httptest.NewServer(plain)
	defer naive.Close()
	requests := rapid.SliceOfN(rapid.Custom(drawRequest), 1, 8)
	rapid.Check(t, func(t *rapid.T) {
		raw, methods := "", []string{}
		for _, request := range requests.Draw(t, "requests") {
			raw += request.raw
			methods = append(methods, request.method)
		}
		ours, theirs := exchangeAll(t, p.server.Address(), raw, methods), exchangeAll(t, naive.Listener.Addr().String(), raw, methods)
		if ours != theirs {
			t.Fatalf("sent %q\nours   %q\ntheirs %q", raw, ours, theirs)
		}
	})
}

type drawnRequest struct{ method, raw string }

func drawRequest(t *rapid.T) drawnRequest {
	method := rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT", "DELETE"}).Draw(t, "method")
	path := rapid.SampledFrom([]string{"/empty", "/stated", "/long", "/silent", "/other?a=%2F"}).Draw(t, "path")
	head := method + " " + path + " HTTP/1.1\r\nHost: h\r\n"
	if rapid.IntRange(0, 9).Draw(t, "closes") == 0 {
		head += "Connection: close\r\n"
	}
	body := rapid.StringMatching("[a-z]{0,40}").Draw(t, "body")
	switch rapid.IntRange(0, 2).Draw(t, "framing") {
	case 0:
		return drawnRequest{method, head + "\r\n"}
	case 1:
		return drawnRequest{method, head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)}
	}
	if body == "" {
		return drawnRequest{method, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}
	}
	return drawnRequest{method, head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)}
}

// exchangeAll sends raw and returns a summary of all answers until the connection ends.
func exchangeAll(t *rapid.T, address, raw string, methods []string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	reader, summary := bufio.NewReader(conn), ""
	for _, method := range methods {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return summary + "end"
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		summary += fmt.Sprintf("%d %v %s %v|", response.StatusCode, response.Close, body, err)
	}
	return summary
}

// Bounds the memory of an idle connection, which limits how many connections a node can hold.
func TestIdleConnectionsAreCheap(t *testing.T) {
	const connections, maxBytes = 1000, 24 << 10
	is := is.New(t)
	p := serve(t, plain, Limits{})
	before := memoryInUse()
	for range connections {
		p.connect(t)
		p.send(get("/stated"))
		p.answer()
	}
	is.Equal(p.server.OpenConnections(), connections+1)
	each := (memoryInUse() - before) / connections
	t.Logf("%d bytes per connection with %d idle connections, including the callers' side", each, connections)
	is.True(each < maxBytes)
}

func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
