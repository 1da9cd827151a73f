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

// plain answers by the request alone, in all the ways in which an answer may end.
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

// Callers of the port and of net/http's own server send the same requests on one
// connection, all at once. They must read the same statuses and bodies in the same
// order, and the connection must end after the same one.
func TestAnswersAreThoseOfTheNaiveServer(t *testing.T) {
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

type drawn struct{ method, raw string }

func drawRequest(t *rapid.T) drawn {
	method := rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT", "DELETE"}).Draw(t, "method")
	path := rapid.SampledFrom([]string{"/empty", "/stated", "/long", "/silent", "/other?a=%2F"}).Draw(t, "path")
	head := method + " " + path + " HTTP/1.1\r\nHost: h\r\n"
	if rapid.IntRange(0, 9).Draw(t, "closes") == 0 {
		head += "Connection: close\r\n"
	}
	body := rapid.StringMatching("[a-z]{0,40}").Draw(t, "body")
	switch rapid.IntRange(0, 2).Draw(t, "framing") {
	case 0:
		return drawn{method, head + "\r\n"}
	case 1:
		return drawn{method, head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)}
	}
	if body == "" {
		return drawn{method, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}
	}
	return drawn{method, head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)}
}

// exchangeAll sends raw and tells all answers until the connection ends or each has come.
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
	reader, told := bufio.NewReader(conn), ""
	for _, method := range methods {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return told + "end"
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		told += fmt.Sprintf("%d %v %s %v|", response.StatusCode, response.Close, body, err)
	}
	return told
}

// Thousands of callers keep a connection each. What one costs while it is idle bounds
// how many a node of 184 MB can hold.
func TestIdleConnectionsAreCheap(t *testing.T) {
	const connections, most = 1000, 24 << 10
	is := is.New(t)
	p := serve(t, plain, Limits{})
	before := inUse()
	for range connections {
		p.connect(t)
		p.send(get("/stated"))
		p.answer()
	}
	is.Equal(p.server.Open(), connections+1)
	each := (inUse() - before) / connections
	t.Logf("%d bytes for each of %d idle connections, those of the callers in this process included", each, connections)
	is.True(each < most)
}

func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
