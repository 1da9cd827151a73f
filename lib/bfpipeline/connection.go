package bfpipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// connection is one caller's connection. One goroutine reads its requests, and each
// request has one that takes it to its end.
type connection struct {
	server  *Server
	conn    net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// ctx ends when the caller leaves.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// inFlight counts the requests that were read and not answered.
	inFlight int
	// newest is the request that was read last, nil before the first.
	newest *exchange
	// closing says that no further request is taken.
	closing bool
	// idleUntil is how long the connection is kept while nothing is in flight.
	idleUntil time.Time
	// awaiting says that the reading goroutine waits for bytes, and may be woken by
	// the connection's read deadline.
	awaiting bool
	// held says that it found the next request to have to wait. Each end of a request
	// wakes it until it has looked again: a wake that the next end took back, by the idle
	// time that it set, left a connection with more requests than the bound silent.
	held bool
	// changed is signalled when a request ends.
	changed chan struct{}
}

// readBuffer is what is read ahead of a request; most requests are shorter.
const readBuffer = 4 << 10

func newConnection(ctx context.Context, s *Server, conn net.Conn) *connection {
	c := &connection{server: s, conn: conn, limited: &limitedReader{from: conn}, changed: make(chan struct{}, 1)}
	c.reader = bufio.NewReaderSize(c.limited, readBuffer)
	c.writer = bufio.NewWriterSize(conn, readBuffer)
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.idleUntil = time.Now().Add(s.limits().IdleTimeout)
	return c
}

// errEnded says that the connection was ended in order.
var errEnded = errors.New("connection ended")

// serve reads requests until the caller leaves or the connection is to end.
func (c *connection) serve() {
	defer c.conn.Close()
	defer c.cancel()
	for {
		if err := c.await(); err != nil {
			c.end(err)
			return
		}
		e, err := c.read()
		if err != nil {
			c.end(err)
			return
		}
		if !c.begin(e) {
			continue
		}
		c.server.group.Go(c.server.parts.Name+" request", e.run)
		// Only one goroutine may use the reader: the body is the handler's.
		<-e.bodyOver
	}
}

// await returns once the first byte of a request is there that may be read. Bytes
// that come meanwhile are held, so that the end of the connection is seen behind them.
func (c *connection) await() error {
	defer c.moveOn()
	for {
		held, err := c.wait()
		buffered := c.reader.Buffered()
		if err != nil || !held && buffered > 0 {
			return err
		}
		_, err = c.reader.Peek(buffered + 1)
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, bufio.ErrBufferFull):
			// No more is held; what comes behind it is seen once a request has ended.
			<-c.changed
		default:
			return err
		}
	}
}

// wait tells whether the next request has to wait, and sets until when its bytes are
// waited for. It gives errEnded where nothing is in flight and nothing more is taken.
func (c *connection) wait() (held bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = true
	deadline := time.Time{}
	if c.inFlight == 0 {
		deadline = c.idleUntil
		if c.closing || !time.Now().Before(deadline) {
			return false, errEnded
		}
	}
	c.held = c.holds()
	return c.held, c.conn.SetReadDeadline(deadline)
}

// holds reports whether the next request has to wait for one that is in flight; it needs the lock.
func (c *connection) holds() bool {
	switch {
	case c.closing, c.inFlight >= maxBeside:
		return true
	case c.inFlight == 0:
		return false
	}
	return c.newest.alone || c.server.beside.Load() >= maxBesideAll
}

// moveOn ends the wait: from now on nobody else sets the read deadline.
func (c *connection) moveOn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
}

// read reads a request. One that can't be read becomes one that is refused.
func (c *connection) read() (*exchange, error) {
	limits := c.server.limits()
	if err := c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	c.limited.allow(limits.HeaderBytes)
	request, err := http.ReadRequest(c.reader)
	c.limited.allowAll()
	switch {
	case c.limited.hit:
		return c.refused(http.StatusRequestHeaderFieldsTooLarge), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The caller is there still, and waits for what it asked before.
		return nil, errEnded
	case errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return nil, err
	case err != nil, !sound(request):
		return c.refused(http.StatusBadRequest), nil
	case limits.BodyBytes > 0 && request.ContentLength > limits.BodyBytes:
		return c.refused(http.StatusRequestEntityTooLarge), nil
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	e := newExchange(c, request, c.server.parts.Handler)
	e.limitBody(limits.BodyBytes)
	return e, nil
}

func isReset(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed)
}

// refused is a request that is answered by a status alone, after which the connection ends.
func (c *connection) refused(status int) *exchange {
	request := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody, Close: true}
	return newExchange(c, request, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, http.StatusText(status), status)
	}))
}

// begin takes a request up, unless the connection has begun to end meanwhile: then it
// counts as not read, and its caller sends it again.
func (c *connection) begin(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	if c.newest != nil {
		e.turn = c.newest.over
	}
	e.beside = c.inFlight > 0
	if e.beside {
		c.server.beside.Add(1)
	}
	c.inFlight++
	c.newest = e
	c.closing = e.request.Close
	return true
}

// announceClose decides whether an answer that would end the connection says so: only
// the newest does. Its caller would send what is behind it again, which the targets
// are at work on already.
func (c *connection) announceClose(e *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || wanted
	return c.closing && c.newest == e
}

// ended takes the end of a request.
func (c *connection) ended(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if e.beside {
		c.server.beside.Add(-1)
	}
	if c.inFlight == 0 {
		c.idleUntil = time.Now().Add(c.server.limits().IdleTimeout)
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
	switch {
	case !c.awaiting:
	case c.held:
		c.wake()
	case c.inFlight == 0:
		// The reading goroutine need not wake for it: its read goes on until then.
		_ = c.conn.SetReadDeadline(c.idleUntil)
	}
}

// wake has the reading goroutine look at the state again; it needs the lock.
func (c *connection) wake() {
	// A connection that is gone wakes its reader anyway.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// stop has the connection end once what was read is answered.
func (c *connection) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.awaiting {
		c.wake()
	}
}

const (
	// lingerTime is how long the end of a caller's sending is waited for after the last
	// answer: a connection that is closed with unread bytes is reset, and the reset
	// may overtake the answer.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is read past meanwhile.
	lingerBytes = 256 << 10
)

// end ends the connection after an error of its reading.
func (c *connection) end(reason error) {
	if !errors.Is(reason, errEnded) {
		c.cancel()
	}
	c.mu.Lock()
	c.closing = true
	newest := c.newest
	c.mu.Unlock()
	if newest == nil {
		return
	}
	<-newest.over
	if !errors.Is(reason, errEnded) {
		return
	}
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// Whatever ends this, the connection is closed next.
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)
}

// limitedReader bounds what is read for one header.
type limitedReader struct {
	from    io.Reader
	limited bool
	left    int
	// hit says that a header was longer than allowed.
	hit bool
}

func (r *limitedReader) allow(n int) { r.limited, r.left = true, n }

func (r *limitedReader) allowAll() { r.limited = false }

// Read reads on while the limit allows.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.from.Read(p)
	}
	if r.left <= 0 {
		r.hit = true
		return 0, io.EOF
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
