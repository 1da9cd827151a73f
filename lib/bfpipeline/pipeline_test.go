package bfpipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
)

// gatedHandler is a handler whose requests block until the test opens the gate of their path.
type gatedHandler struct {
	mu    sync.Mutex
	gates map[string]chan struct{}
	// started receives the path of each request that is served, cancelled that of each request
	// whose caller disconnected.
	started, cancelled chan string
}

func newGatedHandler() *gatedHandler {
	return &gatedHandler{gates: map[string]chan struct{}{}, started: make(chan string, 100), cancelled: make(chan string, 100)}
}

func (s *gatedHandler) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *gatedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.started <- r.URL.Path
	select {
	case <-s.gate(r.URL.Path):
	case <-r.Context().Done():
		s.cancelled <- r.URL.Path
		return
	}
	if strings.HasPrefix(r.URL.Path, "/closes") {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "answer of "+r.URL.Path)
}

// testPort is a served port and one connection to it.
type testPort struct {
	*is.I
	server *Server
	conn   net.Conn
	reader *bufio.Reader
}

func serve(t *testing.T, handler http.Handler, limits Limits) *testPort {
	t.Helper()
	p := &testPort{I: is.New(t)}
	group := bfgroup.New(context.Background())
	server, err := Listen("127.0.0.1:0", Config{
		Name: "caller", Handler: handler, Logger: bflog.Discard(),
		MayRunConcurrently: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Limits:             func() Limits { return limits },
	})
	p.NoErr(err)
	p.server = server
	group.Go("port", server.Start)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Stop(ctx)
		p.NoErr(group.Wait())
	})
	p.connect(t)
	return p
}

func (p *testPort) connect(t *testing.T) {
	conn, err := net.Dial("tcp", p.server.Address())
	p.NoErr(err)
	p.conn, p.reader = conn, bufio.NewReader(conn)
	p.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	t.Cleanup(func() { conn.Close() })
}

func (p *testPort) send(raw string) {
	_, err := io.WriteString(p.conn, raw)
	p.NoErr(err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// answerHead is the status and Connection: close of an answer; status is 0 if the connection
// ended instead.
type answerHead struct {
	status int
	closes bool
}

// answer reads the next answer.
func (p *testPort) answer() (body string, h answerHead) {
	response, err := http.ReadResponse(p.reader, nil)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return "", answerHead{}
	}
	p.NoErr(err)
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	p.NoErr(err)
	return string(read), answerHead{response.StatusCode, response.Close}
}

// receive returns the next value from a channel, "" after a timeout.
func receive(from chan string, d time.Duration) string {
	select {
	case got := <-from:
		return got
	case <-time.After(d):
		return ""
	}
}

// Pipelined idempotent requests run concurrently, and their answers are written in the order
// of the requests.
func TestRequestsRunConcurrently(t *testing.T) {
	s := newGatedHandler()
	p := serve(t, s, Limits{})
	p.send(get("/1") + get("/2") + get("/3"))
	seen := map[string]bool{}
	for range 3 {
		seen[receive(s.started, time.Second)] = true
	}
	p.True(seen["/1"] && seen["/2"] && seen["/3"])
	close(s.gate("/3"))
	close(s.gate("/2"))
	time.Sleep(20 * time.Millisecond)
	close(s.gate("/1"))
	for _, want := range []string{"/1", "/2", "/3"} {
		body, _ := p.answer()
		p.Equal(body, "answer of "+want)
	}
}

// A non-idempotent request runs after all earlier requests are answered and before any later
// one, so that failures of its neighbours can't cut it off.
func TestNonIdempotentRequestsRunAlone(t *testing.T) {
	s := newGatedHandler()
	p := serve(t, s, Limits{})
	p.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok" + get("/3"))
	p.Equal(receive(s.started, time.Second), "/1")
	p.Equal(receive(s.started, 50*time.Millisecond), "")
	close(s.gate("/1"))
	p.Equal(receive(s.started, time.Second), "/2")
	p.Equal(receive(s.started, 50*time.Millisecond), "")
	close(s.gate("/2"))
	p.Equal(receive(s.started, time.Second), "/3")
	close(s.gate("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		body, _ := p.answer()
		p.Equal(body, "answer of "+want)
	}
}

// Only the answer to the newest request announces Connection: close. Guards against a
// caller resending a request that is already running, and against a reset that loses the
// last answer.
func TestOnlyTheNewestAnswerAnnouncesClose(t *testing.T) {
	s := newGatedHandler()
	p := serve(t, s, Limits{})
	p.send(get("/closes/1") + get("/2"))
	receive(s.started, time.Second)
	receive(s.started, time.Second)
	close(s.gate("/closes/1"))
	body, first := p.answer()
	p.Equal(body, "answer of /closes/1")
	p.True(!first.closes)
	p.send(get("/3"))
	close(s.gate("/2"))
	body, second := p.answer()
	p.Equal(body, "answer of /2")
	p.True(second.closes)
	body, _ = p.answer()
	p.Equal(body, "") // closed, not reset
	p.Equal(receive(s.started, 20*time.Millisecond), "")
}

// A disconnect cancels all running requests even if unread requests are buffered before the
// end of the connection.
func TestDisconnectIsDetectedBehindUnreadRequests(t *testing.T) {
	s := newGatedHandler()
	p := serve(t, s, Limits{})
	p.send(strings.Repeat(get("/a"), maxConcurrentPerConn+5))
	for range maxConcurrentPerConn {
		p.Equal(receive(s.started, time.Second), "/a")
	}
	p.Equal(receive(s.started, 50*time.Millisecond), "") // no more than the bound run
	p.conn.Close()
	began := time.Now()
	for range maxConcurrentPerConn {
		p.Equal(receive(s.cancelled, 500*time.Millisecond), "/a")
	}
	p.True(time.Since(began) < 500*time.Millisecond)
}

// Requests beyond the concurrency bound are served as earlier ones are answered, and none is
// lost.
func TestRequestsBeyondTheBoundAreServedLater(t *testing.T) {
	var running, peak atomic.Int32
	p := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for held := peak.Load(); now > held && !peak.CompareAndSwap(held, now); held = peak.Load() {
		}
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	}), Limits{})
	const total = 10 * maxConcurrentPerConn
	p.send(strings.Repeat(get("/a"), total))
	for range total {
		body, _ := p.answer()
		p.Equal(body, "/a")
	}
	p.True(peak.Load() <= maxConcurrentPerConn)
}

// Guards against an aborted answer looking complete, or being continued by the answer to
// the next request.
func TestAbortedAnswerClosesTheConnection(t *testing.T) {
	for _, handler := range []http.HandlerFunc{
		func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		},
		func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		},
		func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			panic("a fault of the program")
		},
	} {
		p := serve(t, handler, Limits{})
		p.send(get("/1") + get("/2"))
		response, err := http.ReadResponse(p.reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		p.True(err != nil)
		p.connect(t) // the server still accepts connections
		p.send(get("/1"))
	}
}

// Covers Expect: 100-continue, chunked bodies, and unread bodies: the next request is read
// where it begins, and a connection with a long unread body is closed gracefully.
func TestBodies(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	p := serve(t, echo, Limits{})
	p.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	line, err := p.reader.ReadString('\n')
	p.NoErr(err)
	p.True(strings.Contains(line, "100"))
	_, err = p.reader.ReadString('\n')
	p.NoErr(err)
	p.send("ok")
	body, _ := p.answer()
	p.Equal(body, "ok")

	p.send("POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" + get("/3"))
	body, _ = p.answer()
	p.Equal(body, "abc")
	body, _ = p.answer()
	p.Equal(body, "")

	p.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get("/4"))
	_, response := p.answer()
	p.Equal(response.status, http.StatusNotFound)
	p.True(!response.closes)
	body, response = p.answer()
	p.Equal(body, "")
	p.Equal(response.status, http.StatusOK)

	p.send("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000))
	_, response = p.answer()
	p.Equal(response.status, http.StatusNotFound)
	p.True(response.closes)
}

// Malformed or oversized requests are rejected with their status and don't reach the
// handler; an incomplete one closes the connection.
func TestLimits(t *testing.T) {
	const bytes = 1 << 10
	limits := Limits{HeaderBytes: bytes, BodyBytes: bytes, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	for _, c := range []struct {
		raw    string
		status int
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8*bytes) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"GET / HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n", http.StatusBadRequest},
		{"GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n", http.StatusBadRequest},
		{"nonsense\r\n\r\n", http.StatusBadRequest},
		{"GET / HTTP/1.1\r\nHost: h\r\n", 0},
		{"", 0},
	} {
		p := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("served " + c.raw) }), limits)
		p.send(c.raw)
		_, response := p.answer()
		if c.status == 0 {
			p.Equal(response.status, 0)
			continue
		}
		p.Equal(response.status, c.status)
		p.True(response.closes)
	}
}

// Guards against the header timeout of an incomplete request cancelling an earlier request
// that is still running.
func TestHeaderTimeoutKeepsRunningRequests(t *testing.T) {
	s := newGatedHandler()
	p := serve(t, s, Limits{HeaderTimeout: 50 * time.Millisecond})
	p.send(get("/1") + "GET /2 HTTP/1.1\r\n")
	p.Equal(receive(s.started, time.Second), "/1")
	p.Equal(receive(s.cancelled, 200*time.Millisecond), "")
	close(s.gate("/1"))
	body, h := p.answer()
	p.Equal(body, "answer of /1")
	p.True(h.closes)
	body, _ = p.answer()
	p.Equal(body, "")
}

// A chunked body that exceeds the limit fails the handler's read.
func TestChunkedBodyIsBounded(t *testing.T) {
	p := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), Limits{BodyBytes: 10})
	p.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("x", 255) + "\r\n0\r\n\r\n")
	_, response := p.answer()
	p.Equal(response.status, http.StatusRequestEntityTooLarge)
}

// The idle timeout starts with the answer, so a slow request does not exceed it.
func TestIdleTimeoutStartsWithTheAnswer(t *testing.T) {
	s := newGatedHandler()
	p := serve(t, s, Limits{IdleTimeout: 100 * time.Millisecond})
	for _, path := range []string{"/1", "/2"} {
		p.send(get(path))
		time.Sleep(150 * time.Millisecond)
		close(s.gate(path))
		body, _ := p.answer()
		p.Equal(body, "answer of "+path)
	}
	began := time.Now()
	body, _ := p.answer()
	p.Equal(body, "")
	p.True(time.Since(began) > 50*time.Millisecond)
}

// Stop waits for the requests in progress, the last of which announces Connection: close. It
// closes idle connections at once and accepts no new ones.
func TestStopWaitsForRequestsInProgress(t *testing.T) {
	s := newGatedHandler()
	p := serve(t, s, Limits{})
	busy, busyReader := p.conn, p.reader
	p.connect(t)
	idle, idleReader := p.conn, p.reader
	p.conn, p.reader = busy, busyReader
	p.send(get("/1") + get("/2"))
	receive(s.started, time.Second)
	receive(s.started, time.Second)
	stopped := make(chan error, 1)
	group := bfgroup.New(context.Background())
	group.Go("stop", func(ctx context.Context) error {
		stopped <- p.server.Stop(ctx)
		return nil
	})
	p.conn, p.reader = idle, idleReader
	body, _ := p.answer()
	p.Equal(body, "")
	_, err := net.DialTimeout("tcp", p.server.Address(), time.Second)
	p.True(err != nil)
	p.conn, p.reader = busy, busyReader
	close(s.gate("/1"))
	close(s.gate("/2"))
	_, first := p.answer()
	_, second := p.answer()
	p.True(!first.closes && second.closes)
	p.conn.Close()
	p.NoErr(<-stopped)
	p.Equal(p.server.OpenConnections(), 0)
}

// Guards against connections that are reset since the server has not accepted them yet when it stops.
func TestStopClosesConnectionsThatWereNotAccepted(t *testing.T) {
	const connections = 20
	p := serve(t, http.NotFoundHandler(), Limits{})
	for range 20 {
		server, err := Listen("127.0.0.1:0", p.server.config)
		p.NoErr(err)
		var dialed []net.Conn
		for range connections {
			conn, err := net.Dial("tcp", server.Address())
			p.NoErr(err)
			defer conn.Close()
			dialed = append(dialed, conn)
		}
		group := bfgroup.New(context.Background())
		group.Go("port", server.Start)
		p.NoErr(server.Stop(context.Background()))
		p.NoErr(group.Wait())
		for _, conn := range dialed {
			_, err := conn.Read(make([]byte, 1))
			p.True(errors.Is(err, io.EOF))
		}
	}
}

// Guards against Stop waiting, beyond its context, for a handler that does not return.
func TestStopDoesNotWaitForStuckHandlers(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{})
	p := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		<-release
	}), Limits{})
	p.send(get("/1"))
	<-began
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	at := time.Now()
	p.True(p.server.Stop(ctx) != nil)
	p.True(time.Since(at) < time.Second)
	body, _ := p.answer()
	p.Equal(body, "")
	close(release)
}

// Guards against a malformed header whose name the handler of such requests doesn't learn, and
// against a handler that learns more than the name.
func TestMalformedHeaderIsRejectedByName(t *testing.T) {
	const secret = "k-secret"
	named := make(chan string, 1)
	p := serve(t, http.NotFoundHandler(), Limits{})
	p.server.config.RejectHeader = func(name string) http.Handler {
		named <- name
		if !strings.EqualFold(name, "Authorization") {
			return nil
		}
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.Equal(len(r.Header), 0)
			w.WriteHeader(http.StatusUnauthorized)
		})
	}
	for _, c := range []struct {
		text, name string
		status     int
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\nauthorization: Bearer " + secret + "\x01\r\nX: y\r\n\r\n", "Authorization", http.StatusUnauthorized},
		{"GET / HTTP/1.1\r\nAuthorization: Bearer\x7f " + secret + "\r\nHost: h\r\n\r\n", "Authorization", http.StatusUnauthorized},
		{"GET / HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer\r\n " + secret + "\x00\r\n\r\n", "Authorization", http.StatusUnauthorized},
		{"GET / HTTP/1.1\r\nHost: h\r\nX: Authorization: " + secret + "\x01\r\n\r\n", "X", http.StatusBadRequest},
		{"nonsense " + secret + "\r\n\r\n", "", http.StatusBadRequest},
	} {
		conn, err := net.Dial("tcp", p.server.Address())
		p.NoErr(err)
		_, err = io.WriteString(conn, c.text)
		p.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		p.NoErr(err)
		p.Equal(response.StatusCode, c.status) // c.text
		response.Body.Close()
		conn.Close()
		p.Equal(<-named, c.name) // c.text
	}
}

// Guards against an answer that a caller never reads, and against the bound of one answer that cuts off a
// later one on its connection.
func TestWriteDeadlineOfOneAnswer(t *testing.T) {
	const bound = 100 * time.Millisecond
	failed := make(chan string, 1)
	p := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/bounded", "/endless":
			if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(bound)); err != nil {
				t.Error(err)
			}
		}
		for r.URL.Path == "/endless" {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				failed <- "failed"
				return
			}
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}), Limits{})
	p.send(get("/bounded"))
	body, _ := p.answer()
	p.Equal(body, "/bounded")
	time.Sleep(2 * bound)
	p.send(get("/later"))
	body, _ = p.answer()
	p.Equal(body, "/later")
	p.send(get("/endless")) // and read nothing
	p.Equal(receive(failed, 20*bound), "failed")
}

// Guards against requests that go on after their caller has left (GONE), as its disconnection is not seen behind
// pipelined requests that don't fit the buffer; and against losing any of those.
func TestDisconnectionBehindPipelinedRequests(t *testing.T) {
	for _, behind := range []int{1, 200, 800} {
		handler := newGatedHandler()
		p := serve(t, handler, Limits{})
		p.send("POST /exclusive HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		p.Equal(<-handler.started, "/exclusive")
		p.send(strings.Repeat(get("/next"), behind))
		p.conn.Close()
		select {
		case path := <-handler.cancelled:
			p.Equal(path, "/exclusive")
		case <-time.After(5 * time.Second):
			t.Fatalf("%d requests behind: not cancelled", behind)
		}
	}
	handler := newGatedHandler()
	p := serve(t, handler, Limits{})
	close(handler.gate("/next"))
	p.send("POST /exclusive HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + strings.Repeat(get("/next"), 800))
	p.Equal(<-handler.started, "/exclusive")
	time.Sleep(20 * time.Millisecond)
	close(handler.gate("/exclusive"))
	body, _ := p.answer()
	p.Equal(body, "answer of /exclusive")
	for range 800 {
		<-handler.started
		body, _ := p.answer()
		p.Equal(body, "answer of /next")
	}
}
