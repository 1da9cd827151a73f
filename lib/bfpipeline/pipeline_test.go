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

// script is a handler whose requests the test holds and lets go by their paths.
type script struct {
	mu    sync.Mutex
	gates map[string]chan struct{}
	// began gets the path of each request that is taken up, gone that of each whose caller left.
	began, gone chan string
}

func newScript() *script {
	return &script{gates: map[string]chan struct{}{}, began: make(chan string, 100), gone: make(chan string, 100)}
}

func (s *script) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.began <- r.URL.Path
	select {
	case <-s.gate(r.URL.Path):
	case <-r.Context().Done():
		s.gone <- r.URL.Path
		return
	}
	if strings.HasPrefix(r.URL.Path, "/closes") {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "answer of "+r.URL.Path)
}

// port is a served port and one connection to it.
type port struct {
	*is.I
	server *Server
	conn   net.Conn
	reader *bufio.Reader
}

func serve(t *testing.T, handler http.Handler, limits Limits) *port {
	t.Helper()
	p := &port{I: is.New(t)}
	group := bfgroup.New(context.Background())
	server, err := Listen("127.0.0.1:0", Parts{
		Name: "caller", Handler: handler, Logger: bflog.Discard(),
		Beside: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Limits: func() Limits { return limits },
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

func (p *port) connect(t *testing.T) {
	conn, err := net.Dial("tcp", p.server.Address())
	p.NoErr(err)
	p.conn, p.reader = conn, bufio.NewReader(conn)
	p.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	t.Cleanup(func() { conn.Close() })
}

func (p *port) send(raw string) {
	_, err := io.WriteString(p.conn, raw)
	p.NoErr(err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// head is what the caller reads before an answer's body; its status is 0 where the
// connection ended in order instead.
type head struct {
	status int
	closes bool
}

// answer reads the next answer.
func (p *port) answer() (body string, h head) {
	response, err := http.ReadResponse(p.reader, nil)
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return "", head{}
	}
	p.NoErr(err)
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	p.NoErr(err)
	return string(read), head{response.StatusCode, response.Close}
}

// within gives what comes, "" after a while.
func within(from chan string, d time.Duration) string {
	select {
	case got := <-from:
		return got
	case <-time.After(d):
		return ""
	}
}

// A caller sends three look-ups without waiting. The third is ready first. All three
// run at once, so that none waits for another's run, and the caller gets the answers
// in the order of its requests, since nothing else tells them apart.
func TestRequestsRunSideBySide(t *testing.T) {
	s := newScript()
	p := serve(t, s, Limits{})
	p.send(get("/1") + get("/2") + get("/3"))
	seen := map[string]bool{}
	for range 3 {
		seen[within(s.began, time.Second)] = true
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

// A caller sends a look-up, an approval and another look-up. The approval runs once
// the look-up before it is answered, and the one behind it once the approval is: what
// may run once only must not depend on what a broken connection does to its neighbours.
func TestOthersRunInTurn(t *testing.T) {
	s := newScript()
	p := serve(t, s, Limits{})
	p.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok" + get("/3"))
	p.Equal(within(s.began, time.Second), "/1")
	p.Equal(within(s.began, 50*time.Millisecond), "")
	close(s.gate("/1"))
	p.Equal(within(s.began, time.Second), "/2")
	p.Equal(within(s.began, 50*time.Millisecond), "")
	close(s.gate("/2"))
	p.Equal(within(s.began, time.Second), "/3")
	close(s.gate("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		body, _ := p.answer()
		p.Equal(body, "answer of "+want)
	}
}

// A node that leaves ends its connections with the next answer, while a second request
// is at a target already and a third comes later. The first answer must not end the
// connection: the caller would send the second again. The third is never passed on,
// and the connection ends in order, so that the second answer is not lost to a reset.
func TestOnlyTheNewestAnswerEndsTheConnection(t *testing.T) {
	s := newScript()
	p := serve(t, s, Limits{})
	p.send(get("/closes/1") + get("/2"))
	within(s.began, time.Second)
	within(s.began, time.Second)
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
	p.Equal(body, "") // the end, not a reset
	p.Equal(within(s.began, 20*time.Millisecond), "")
}

// A caller sends more requests than may run at once and leaves. All that run are told
// within half a second, though bytes lie unread before the end of the connection;
// else targets would go on for nobody.
func TestLeavingIsSeenBehindUnreadRequests(t *testing.T) {
	s := newScript()
	p := serve(t, s, Limits{})
	p.send(strings.Repeat(get("/a"), maxBeside+5))
	for range maxBeside {
		p.Equal(within(s.began, time.Second), "/a")
	}
	p.Equal(within(s.began, 50*time.Millisecond), "") // the bound
	p.conn.Close()
	began := time.Now()
	for range maxBeside {
		p.Equal(within(s.gone, 500*time.Millisecond), "/a")
	}
	p.True(time.Since(began) < 500*time.Millisecond)
}

// A caller sends more requests than may run at once. Those beyond the bound are read
// as soon as one before them is answered, and none is lost.
func TestRequestsBeyondTheBoundFollow(t *testing.T) {
	var running, most atomic.Int32
	p := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for held := most.Load(); now > held && !most.CompareAndSwap(held, now); held = most.Load() {
		}
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	}), Limits{})
	const asked = 10 * maxBeside
	p.send(strings.Repeat(get("/a"), asked))
	for range asked {
		body, _ := p.answer()
		p.Equal(body, "/a")
	}
	p.True(most.Load() <= maxBeside)
}

// An answer breaks off in the middle while another waits behind it. The caller must
// not take what came for whole, and the connection ends: what followed would be taken
// for the rest of the broken answer.
func TestBrokenAnswerEndsTheConnection(t *testing.T) {
	for _, broken := range []http.HandlerFunc{
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
		p := serve(t, broken, Limits{})
		p.send(get("/1") + get("/2"))
		response, err := http.ReadResponse(p.reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		p.True(err != nil)
		p.connect(t) // the port itself goes on
		p.send(get("/1"))
	}
}

// A caller waits to be asked for its body, another sends one in chunks, a third sends a
// long one that nobody reads. Each gets its answer, the next request on the connection
// is read where it begins, and the connection of the unread body ends in order.
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

// Requests that break a limit or can't be read are refused with the status that says
// so, and never reach the handler; one that is never finished ends the connection.
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

// A caller sends half of a header behind a request that takes its time. The header's
// time ends first; the request goes on, and its answer tells that the connection ends.
func TestHalfHeaderDoesNotEndWhatRuns(t *testing.T) {
	s := newScript()
	p := serve(t, s, Limits{HeaderTimeout: 50 * time.Millisecond})
	p.send(get("/1") + "GET /2 HTTP/1.1\r\n")
	p.Equal(within(s.began, time.Second), "/1")
	p.Equal(within(s.gone, 200*time.Millisecond), "")
	close(s.gate("/1"))
	body, h := p.answer()
	p.Equal(body, "answer of /1")
	p.True(h.closes)
	body, _ = p.answer()
	p.Equal(body, "")
}

// A body in chunks says its length only at its end. One that passes the bound breaks
// off at the handler, however long it goes on.
func TestChunkedBodyIsBounded(t *testing.T) {
	p := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		var over *http.MaxBytesError
		if errors.As(err, &over) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), Limits{BodyBytes: 10})
	p.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("x", 255) + "\r\n0\r\n\r\n")
	_, response := p.answer()
	p.Equal(response.status, http.StatusRequestEntityTooLarge)
}

// A connection that answers slowly is not idle: the idle time begins with its answer.
func TestIdleTimeBeginsWithTheAnswer(t *testing.T) {
	s := newScript()
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

// A node stops while one connection has two requests in progress and another has none.
// Both are answered, the last with word that the connection ends; the idle connection
// ends at once, and no new one is taken.
func TestStopAnswersWhatWasRead(t *testing.T) {
	s := newScript()
	p := serve(t, s, Limits{})
	busy, busyReader := p.conn, p.reader
	p.connect(t)
	idle, idleReader := p.conn, p.reader
	p.conn, p.reader = busy, busyReader
	p.send(get("/1") + get("/2"))
	within(s.began, time.Second)
	within(s.began, time.Second)
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
	p.Equal(p.server.Open(), 0)
}

// A node stops while a target still runs a request that nobody may break off. The time
// for the stop ends: the connection is cut and the stop is over, though the handler
// goes on; waited for, the process would be killed in the middle of what it writes last.
func TestStopDoesNotWaitForWhatItCuts(t *testing.T) {
	goesOn, began := make(chan struct{}), make(chan struct{})
	p := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		<-goesOn
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
	close(goesOn)
}
