package bfforward

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errAlreadySent is returned to a transport that writes a request again.
var errAlreadySent = errors.New("request was already sent or canceled")

// writePermit allows a request to be written to one connection only.
//
// net/http retries a request when a reused connection breaks, if the request has no
// body or carries an Idempotency-Key, which could run a nomination twice. It also
// does not report whether any byte of a failed request was written. writePermit
// decides both at the write of the first byte.
type writePermit struct {
	// onFirstWrite is called before the first byte is written.
	onFirstWrite func()

	mu      sync.Mutex
	written bool
	from    *conn // nil if the connection is shared
	revoked bool
}

// acquire reports whether bytes of the request may be written to c.
func (w *writePermit) acquire(c *conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.written && !w.revoked {
		w.written, w.from = true, c
		if w.onFirstWrite != nil {
			w.onFirstWrite()
		}
	}
	return w.written && w.from == c
}

// revoke forbids further writes, and reports whether no byte has been written.
func (w *writePermit) revoke() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revoked = true
	return !w.written
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	permit atomic.Pointer[writePermit]
	// id is the ID of the request that it carries, or carried last.
	id atomic.Pointer[string]
}

// begin starts a request and returns the ID of the one before it, "" for none.
func (c *conn) begin(id string) (earlier string) {
	if last := c.id.Swap(&id); last != nil {
		return *last
	}
	return ""
}

// Write writes bytes of the current request if its permit allows it.
func (c *conn) Write(p []byte) (int, error) {
	if permit := c.permit.Load(); permit != nil && !permit.acquire(c) {
		return 0, errAlreadySent
	}
	return c.Conn.Write(p)
}
