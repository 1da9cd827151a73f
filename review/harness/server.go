package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id, server, service, method, path, caller string
	bytes                                     int
	sum                                       string
	at                                        time.Time
}

// ledger holds the runs of all servers.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run{}, l.runs...)
}

// server is one boot of an application server. It behaves as the pages say: it reads the whole request,
// runs it in a slot, echoes the id and signs its answer.
type server struct {
	id      string
	machine *machine
	slots   chan struct{}
	work    time.Duration
	ledger  *ledger
	record  *record
	http    *http.Server
	mu      sync.Mutex
	seq     int64
	state   string
	stop    chan struct{}
	ended   sync.Once
	// body returns the body of the answer to a request, nil for a short one; it may be nil.
	body func(path, id string) []byte
}

func startServer(id string, m *machine, slots int, work time.Duration, l *ledger) (*server, error) {
	listener, err := net.Listen("tcp", m.at(m.ports.app))
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, machine: m, slots: make(chan struct{}, slots), work: work, ledger: l, record: m.record,
		state: "ready", stop: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	background.Go(func() { s.http.Serve(listener) })
	s.record.note("server %s of %s starts at %s", id, m.service, m.name)
	return s, nil
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.record.note("server %s did not get the whole body of %s (%d bytes): not run", s.id, id, len(body))
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-time.After(200 * time.Millisecond):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sum := sha256.Sum256(body)
	one := run{
		id: id, server: s.id, service: s.machine.service, method: r.Method, path: r.RequestURI,
		caller: r.Header.Get("X-Caller-Service"), bytes: len(body), sum: hex.EncodeToString(sum[:8]), at: time.Now(),
	}
	s.ledger.add(one)
	s.record.note("run %s at %s: %s %s, %d bytes, sum %s", id, s.id, one.method, one.path, one.bytes, one.sum)
	time.Sleep(s.work)
	w.Header().Set("X-Response-Signature", "sig-"+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	if body := s.longBody(one); body != nil {
		w.Header().Set("Content-Length", itoa(int64(len(body))))
		w.Write(body)
		return
	}
	io.WriteString(w, "done "+id+" "+one.sum)
}

func (s *server) longBody(r run) []byte {
	if s.body == nil {
		return nil
	}
	return s.body(r.path, r.id)
}

// report returns a heartbeat as it is now.
func (s *server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	text, _ := json.Marshal(map[string]any{
		"service": s.machine.service, "address": s.machine.at(s.machine.ports.app), "zone": s.machine.zone, "version": "v1",
		"slots": cap(s.slots), "state": s.state, "warmup_left_s": 0, "seq": s.seq,
	})
	return text
}

var beats = &http.Client{Timeout: time.Second}

// tell sends a report to the node on the same machine and reports whether it was acknowledged.
func (s *server) tell(method string, body []byte) bool {
	request, err := http.NewRequest(method, "http://"+s.machine.at(s.machine.ports.control)+"/v1/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := beats.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// beat sends heartbeats every 1.5 s until the server stops them.
func (s *server) beat() {
	for {
		s.tell(http.MethodPut, s.report())
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-s.stop:
			return
		}
	}
}

func (s *server) stopBeats() { s.ended.Do(func() { close(s.stop) }) }

// drain reports draining until it is acknowledged and returns the time of the ack.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for !s.tell(http.MethodPut, s.report()) {
		time.Sleep(200 * time.Millisecond)
	}
	s.record.note("server %s is draining: acknowledged", s.id)
	return time.Now()
}

// leave sends the departure until it is acknowledged and returns the time of the ack.
func (s *server) leave() time.Time {
	s.stopBeats()
	for !s.tell(http.MethodDelete, nil) {
		time.Sleep(200 * time.Millisecond)
	}
	s.record.note("server %s leaves: acknowledged", s.id)
	return time.Now()
}

// exit ends the server.
func (s *server) exit() {
	s.stopBeats()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	s.http.Shutdown(ctx)
	s.http.Close()
	s.record.note("server %s ends", s.id)
}
