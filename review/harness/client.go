package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"
)

// sent is one client attempt and its answer.
type sent struct {
	id, machine, method, path string
	bytes                     int
	sum                       string
	at, answered              time.Time
	status                    int
	signed                    bool
	err                       error
}

// client sends requests to the node of its own machine.
type client struct {
	http   *http.Client
	record *record
	mu     sync.Mutex
	sent   []sent
}

func newClient(r *record) *client {
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}, record: r}
}

func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// chunked hides the length of a body, so that it is sent in chunks.
type chunked struct{ io.Reader }

// send makes one attempt with a deadline. Header may hold further headers.
func (c *client) send(m *machine, method, host, path string, body []byte, inChunks bool, deadline time.Duration, header map[string]string) sent {
	sum := sha256.Sum256(body)
	s := sent{id: newID(), machine: m.name, method: method, path: path, bytes: len(body), sum: hex.EncodeToString(sum[:8]), at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var from io.Reader
	if len(body) > 0 {
		from = bytes.NewReader(body)
		if inChunks {
			from = chunked{from}
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(m.ports.outbound)+path, from)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", s.id)
	request.Header.Set("X-Deadline-Ms", itoa(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		s.status, s.signed = response.StatusCode, response.Header.Get("X-Response-Signature") != ""
	}
	s.err, s.answered = err, time.Now()
	c.record.note("sent %s at %.3f to %s: %s %s, %d bytes, sum %s; answered %d, signed %v, error %v",
		s.id, s.at.Sub(c.record.began).Seconds(), m.name, method, path, s.bytes, s.sum, s.status, s.signed, err)
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	return s
}

// all returns the attempts by id.
func (c *client) all() map[string]sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	byID := map[string]sent{}
	for _, s := range c.sent {
		byID[s.id] = s
	}
	return byID
}
