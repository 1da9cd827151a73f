package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of behind. One server of three is faulty once (the site's garble: share 0.35, for_s = 5.5) and breaks off
// brokenShare of its answers (x = 0.02) in that time.
const (
	brokenShare   = 0.02
	faultyAfter   = 6 * time.Second
	faultyTime    = 5500 * time.Millisecond
	reportBytes   = 400_000
	breakAfter    = 300_000
	shortRequests = 3
	behindTime    = 18 * time.Second
	behindClients = 16
	// lostAllowed is how often the rule allows a connection to be closed without an answer.
	lostAllowed = 3
)

// behind has clients that send three short idempotent requests behind one with a long answer, and a server that
// breaks off some of its answers.
func behind(d *deployment, trouble bool) (bool, error) {
	front, err := d.addNode("front-1", "a", "front", nil)
	if err != nil {
		return false, err
	}
	frontServer := d.newServer(front, "i-front", 12)
	if err := frontServer.begin(); err != nil {
		return false, err
	}
	var soundRuns sync.Map // request ID to the sound server that ran it
	var breaks atomic.Bool
	for i := range 3 {
		n, err := d.addNode(fmt.Sprintf("desk-%d", i+1), string(rune('a'+i)), "desk", nil)
		if err != nil {
			return false, err
		}
		s := d.newServer(n, fmt.Sprintf("i-desk-%d", i+1), 12)
		faulty := i == 0
		s.handle = func(c net.Conn, r *http.Request, _ []byte) bool {
			s.run(r)
			time.Sleep(time.Duration(3+rand.IntN(15)) * time.Millisecond)
			if !faulty {
				soundRuns.Store(r.Header.Get("X-Attempt-Id"), s.id)
			}
			return s.answerPart(c, r, breaks.Load() && faulty && rand.Float64() < brokenShare)
		}
		if err := s.begin(); err != nil {
			return false, err
		}
	}
	routes := []route{
		{Name: "report", Host: "desk.example", Prefix: "/report/", RouteType: idempotent, Timeout: 4, TargetLatency: 1, Priority: 1, Service: "desk", MaxAttempts: 2},
		{Name: "check", Host: "desk.example", Prefix: "/check/", RouteType: idempotent, Timeout: 4, TargetLatency: 1, Priority: 1, Service: "desk", MaxAttempts: 2},
	}
	if err := d.configure(7, routes, "front", "desk"); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	if err := d.awaitServed(front, "desk.example", "/check/1", 5*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	var counts pipelineCounts
	end := time.Now().Add(behindTime)
	for client := range behindClients {
		clients.Go(func() {
			for connection := 0; time.Now().Before(end); connection++ {
				sendPipelines(d.rec, front, fmt.Sprintf("c%d-%d", client, connection), end, &counts, &soundRuns)
			}
		})
	}
	time.Sleep(faultyAfter)
	if trouble {
		d.rec.say("server i-desk-1 begins to break off answers")
		breaks.Store(true)
		time.Sleep(faultyTime)
		breaks.Store(false)
		d.rec.say("server i-desk-1 is sound again")
	}
	clients.Wait()
	d.rec.say("%d requests, %d answers in whole, %d answers cut in the middle", counts.sent, counts.whole, counts.cut)
	d.rec.say("%d requests that were not the first of their connection and were run by a sound server got no answer", counts.lost)
	return counts.lost > lostAllowed, nil
}

// pipelineCounts counts the requests of all clients.
type pipelineCounts struct {
	mu                     sync.Mutex
	sent, whole, cut, lost int
}

// sendPipelines sends one batch of requests after the other over one connection, until it ends.
func sendPipelines(rec *record, n *node, name string, end time.Time, counts *pipelineCounts, soundRuns *sync.Map) {
	c, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for batch := 0; time.Now().Before(end); batch++ {
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		var text strings.Builder
		var ids []string
		for i := range 1 + shortRequests {
			path := "/check/1"
			if i == 0 {
				path = "/report/1"
			}
			id := fmt.Sprintf("%s-%d-%d", name, batch, i)
			ids = append(ids, id)
			fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", path, id)
		}
		if _, err := io.WriteString(c, text.String()); err != nil {
			return
		}
		if !readPipeline(rec, reader, ids, batch > 0, counts, soundRuns) {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// readPipeline reads the answers of a batch. It returns false if the connection has ended.
func readPipeline(rec *record, reader *bufio.Reader, ids []string, kept bool, counts *pipelineCounts, soundRuns *sync.Map) bool {
	counts.mu.Lock()
	counts.sent += len(ids)
	counts.mu.Unlock()
	for i, id := range ids {
		a := readAnswer(reader, http.MethodGet)
		if a.status != 0 && a.whole {
			counts.mu.Lock()
			counts.whole++
			counts.mu.Unlock()
			continue
		}
		rec.line("client: %s: %s", id, a)
		unanswered := ids[i:]
		if a.status != 0 {
			unanswered = ids[i+1:]
			counts.mu.Lock()
			counts.cut++
			counts.mu.Unlock()
		}
		var timeout net.Error
		if errors.As(a.err, &timeout) && timeout.Timeout() {
			return false
		}
		// What has reached a server may still run.
		time.Sleep(200 * time.Millisecond)
		for at, id := range unanswered {
			server, sound := soundRuns.Load(id)
			if !sound || !kept && at == 0 && len(unanswered) == len(ids) {
				continue
			}
			rec.line("lost: %s, run by %s, got no answer: its connection was closed", id, server)
			counts.mu.Lock()
			counts.lost++
			counts.mu.Unlock()
		}
		return false
	}
	return true
}

// answerPart answers a request with the length of its kind, and breaks the answer off if broken is set.
func (s *server) answerPart(c net.Conn, r *http.Request, broken bool) (keep bool) {
	size, part := 300, 150
	if strings.HasPrefix(r.URL.Path, "/report/") {
		size, part = reportBytes, breakAfter
	}
	if !broken {
		part = size
	}
	id := r.Header.Get("X-Attempt-Id")
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, signature(id), size, strings.Repeat("r", part))
	if broken {
		s.rec.line("server %s breaks off its answer to %s after %d of %d bytes", s.id, id, part, size)
	}
	return err == nil && !broken
}
