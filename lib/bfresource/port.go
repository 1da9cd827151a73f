package bfresource

import (
	"container/list"
	"fmt"
	"net"
	"syscall"

	"bilberryflow.org/lib/bfpace"
)

// FullError reports a connection that a port can't take.
type FullError struct{ Limit int }

// Error includes the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d connections are open and none of them can be closed", e.Limit)
}

// Port is a port of the process and its share of the connections; nil bounds nothing.
type Port struct {
	budget *Budget
	limit  int
	open   map[*Conn]struct{}
	// idle holds the connections without a request, longest idle first.
	idle *list.List
}

// NewPort returns a port with at most limit connections.
func (b *Budget) NewPort(limit int) *Port {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &Port{budget: b, limit: limit, open: map[*Conn]struct{}{}, idle: list.New()}
	b.ports = append(b.ports, p)
	return p
}

// Conn is a client's connection; nil bounds nothing.
type Conn struct {
	port *Port
	// close closes the connection; it doesn't block.
	close func()
	// hasUnread reports whether bytes have arrived that were not read yet.
	hasUnread func() bool

	// The budget guards what follows.
	requests int
	// held is in bytes, without those of requests.
	held int64
	// element is the connection's place among the idle ones, nil if it has a request.
	element *list.Element
	closed  bool
}

// Accept adds an accepted connection. Others are closed in its favour as Open says.
func (p *Port) Accept(c net.Conn) (*Conn, error) {
	return p.Open(func() { c.Close() }, func() bool { return hasUnread(c) })
}

// hasUnread reports whether the system holds bytes of a connection that were not read yet, or its end.
func hasUnread(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Control doesn't wait for a read in progress, as Read would.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
	})
	return err == nil && unread
}

// Open adds an accepted connection, which close closes without blocking. hasUnread reports whether bytes of it have
// arrived that were not read yet. Others are closed in its favour if the
// port or the memory is full: idle ones first, then those whose request arrives slowly. It fails with a
// *FullError or an *ExhaustedError if there are none.
func (p *Port) Open(close func(), hasUnread func() bool) (*Conn, error) {
	if p == nil {
		return nil, nil
	}
	b := p.budget
	c := &Conn{port: p, close: close, hasUnread: hasUnread}
	b.mu.Lock()
	ended, err := b.add(c)
	b.mu.Unlock()
	ended.end()
	return c, err
}

// add adds a connection; the caller ends the victims without holding mu.
func (b *Budget) add(c *Conn) (victims, error) {
	p := c.port
	var ended victims
	if len(p.open) >= p.limit {
		ended = b.makeRoom(p)
	}
	if len(p.open) >= p.limit {
		b.counts.Refused++
		return ended, &FullError{Limit: p.limit}
	}
	more, err := b.chargeConn(c, connectionBytes)
	ended = append(ended, more...)
	if err != nil {
		b.counts.Refused++
		return ended, err
	}
	p.open[c] = struct{}{}
	c.setIdle()
	return ended, nil
}

// setIdle marks the connection as one without a request. The budget must be locked.
func (c *Conn) setIdle() {
	if !c.closed && c.element == nil {
		c.element = c.port.idle.PushBack(c)
	}
}

// setBusy marks the connection as one with a request. The budget must be locked.
func (c *Conn) setBusy() {
	if c.element != nil {
		c.port.idle.Remove(c.element)
		c.element = nil
	}
}

// endRequest ends a request of the connection. The budget must be locked.
func (c *Conn) endRequest() {
	c.requests--
	if c.requests == 0 {
		c.setIdle()
	}
}

// Begin adds a request whose first byte has arrived. evict ends its arrival without blocking. If there is no
// memory for the request, it holds none, and the error is an *ExhaustedError.
func (c *Conn) Begin(evict func()) (*Request, error) {
	if c == nil {
		return nil, nil
	}
	b := c.port.budget
	r := &Request{conn: c, evict: evict}
	b.mu.Lock()
	r.began = b.now()
	r.pace, r.readAt = bfpace.New(r.began, b.pace), r.began
	c.requests++
	c.setBusy()
	b.arriving[r] = struct{}{}
	ended, err := b.charge(r, requestBytes)
	b.mu.Unlock()
	ended.end()
	return r, err
}

// Close removes a closed connection; further calls do nothing.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	b := c.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.remove()
}

// remove is Close. The budget must be locked.
func (c *Conn) remove() {
	if c.closed {
		return
	}
	c.setBusy()
	c.closed = true
	delete(c.port.open, c)
	c.port.budget.held -= c.held
}

// Charge charges bytes to the connection until its end. It fails with an *ExhaustedError.
func (c *Conn) Charge(bytes int64) error {
	if c == nil {
		return nil
	}
	b := c.port.budget
	b.mu.Lock()
	ended, err := b.chargeConn(c, bytes)
	b.mu.Unlock()
	ended.end()
	return err
}

// chargeConn is Conn.Charge; the caller ends the victims without holding mu.
func (b *Budget) chargeConn(c *Conn, bytes int64) (victims, error) {
	var ended victims
	if b.held+bytes > b.memory {
		ended = b.reclaim(nil, b.held+bytes-b.memory)
	}
	if c.closed || b.held+bytes > b.memory {
		return ended, &ExhaustedError{Bytes: bytes}
	}
	b.held += bytes
	c.held += bytes
	return ended, nil
}
