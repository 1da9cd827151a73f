package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for an application server beside a node.
type server struct {
	rec           *record
	service, zone string
	id            string
	born          int64 // Unix milliseconds, 0 for none
	control       string
	address       string
	slots         int
	// handle answers a request; nil answers all at once.
	handle func(c net.Conn, r *http.Request, body []byte) (keep bool)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	state    string
	seq      int
	stopped  chan struct{}
	// ran counts the runs by request ID.
	ran map[string]int
}

// heartbeat is the time between two liveness reports.
const heartbeat = 1500 * time.Millisecond

// begin listens at the server's address and reports itself.
func (s *server) begin() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.state = listener, "ready"
	s.conns, s.stopped = map[net.Conn]bool{}, make(chan struct{})
	if s.ran == nil {
		s.ran = map[string]int{}
	}
	stopped := s.stopped
	background.Go(func() { s.accept(listener) })
	background.Go(func() { s.beat(stopped) })
	return nil
}

func (s *server) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		background.Go(func() { s.serve(c) })
	}
}

// serve serves the requests of a connection, one at a time.
func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			status := http.StatusOK
			if s.currentState() != "ready" {
				status = http.StatusServiceUnavailable
			}
			fmt.Fprintf(c, "HTTP/1.1 %d x\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, s.id)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
			s.rec.line("server %s refuses %s: it expects %s", s.id, r.Header.Get("X-Attempt-Id"), expected)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"), s.id)
			continue
		}
		if s.handle != nil {
			if !s.handle(c, r, body) {
				return
			}
			continue
		}
		s.run(r)
		if s.answer(c, r, http.StatusOK, "done") != nil {
			return
		}
	}
}

// run records that the server begins to work on a request.
func (s *server) run(r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.rec.line("server %s runs %s %s %s (caller %s, deadline %s ms)", s.id, id, r.Method, r.RequestURI, r.Header.Get("X-Caller-Service"), r.Header.Get("X-Deadline-Ms"))
}

func (s *server) answer(c net.Conn, r *http.Request, status int, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nX-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("X-Attempt-Id"), signature(r.Header.Get("X-Attempt-Id")), s.id, len(body), body)
	return err
}

func signature(id string) string { return "sig." + id }

func (s *server) currentState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *server) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// beat sends liveness reports until the server ends.
func (s *server) beat(stopped chan struct{}) {
	for {
		if s.currentState() == "ready" {
			_, _ = s.report("ready")
		}
		select {
		case <-stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

var reports = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// report sends one liveness report and returns the status of its answer.
func (s *server) report(state string) (int, error) {
	s.mu.Lock()
	s.seq++
	fields := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "warmup_left_s": 0, "seq": s.seq,
	}
	if s.born != 0 {
		fields["born"] = s.born
	}
	s.mu.Unlock()
	body, err := json.Marshal(fields)
	if err != nil {
		return 0, err
	}
	return s.call(http.MethodPut, body)
}

func (s *server) call(method string, body []byte) (int, error) {
	request, err := http.NewRequest(method, "http://"+s.control+"/v1/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := reports.Do(request)
	if err != nil {
		s.rec.line("server %s: %s %s: no answer (%v)", s.id, method, strings.TrimSpace(string(body)), err)
		return 0, err
	}
	response.Body.Close()
	s.rec.line("server %s: %s %s: %d", s.id, method, strings.TrimSpace(string(body)), response.StatusCode)
	return response.StatusCode, nil
}

// drain reports draining until it is acknowledged.
func (s *server) drain(limit time.Duration) (acknowledged bool) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, err := s.report("draining"); err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// leave sends DELETE once.
func (s *server) leave() {
	var body []byte
	if s.born != 0 {
		body, _ = json.Marshal(map[string]any{"born": s.born})
	}
	_, _ = s.call(http.MethodDelete, body)
}

// end ends the server at once, as a crash does: connections are reset.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "ended"
	s.listener.Close()
	close(s.stopped)
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}
