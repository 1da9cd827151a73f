package bfforward

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errRepeated is what a second copy of a request meets.
var errRepeated = errors.New("the request has left this node already")

// departure is one request's right to leave this node, once.
//
// net/http sends a request again by itself when a reused connection breaks, if
// it has no body or carries an Idempotency-Key: a nomination would run twice.
// It also can't tell a request of which nothing was written from one that may
// have arrived. Both are decided here, at the write of the first byte.
type departure struct {
	// before is called before the first byte leaves.
	before func()

	mu   sync.Mutex
	left bool
	from *conn // nil where the connection is shared
	over bool
}

// leave reports whether bytes of the request may be written to c.
func (d *departure) leave(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.left && !d.over {
		d.left, d.from = true, c
		if d.before != nil {
			d.before()
		}
	}
	return d.left && d.from == c
}

// stay ends the right, and reports whether no byte has left or ever will.
func (d *departure) stay() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.over = true
	return !d.left
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	current atomic.Pointer[departure]
}

// Write writes bytes of the current request, if they may leave.
func (c *conn) Write(p []byte) (int, error) {
	if d := c.current.Load(); d != nil && !d.leave(c) {
		return 0, errRepeated
	}
	return c.Conn.Write(p)
}
