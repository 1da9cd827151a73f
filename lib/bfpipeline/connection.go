package bfpipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strings"
	"sync"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfresource"
)

// connection is a caller's connection. One goroutine reads its requests, and each request
// is served by a goroutine of its own.
type connection struct {
	server  *Server
	conn    net.Conn
	held    *bfresource.Conn
	limited *limitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// ctx is cancelled when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// inFlight counts the requests that have been read but not answered.
	inFlight int
	// newest is the latest request, nil before the first.
	newest *exchange
	// closing is set once no further request is accepted.
	closing bool
	// idleUntil is when the connection is closed if no request is in flight.
	idleUntil time.Time
	// awaiting is set while the reading goroutine waits for bytes, so that it may be woken by
	// setting the connection's read deadline.
	awaiting bool
	// blocked is set while the next request has to wait. Each end of a request wakes the
	// reading goroutine until it has checked again. If the wake-up were cleared by the idle
	// deadline that the next end sets, the waiting request would never be read.
	blocked bool
	// changed is signalled when a request ends.
	changed chan struct{}
}

// readBuffer is the size of the connection's buffers in bytes, larger than most requests.
const readBuffer = 4 << 10

// largeReadBuffer is the size in bytes for connections with more pipelined requests than fit.
const largeReadBuffer = 64 << 10

func newConnection(ctx context.Context, s *Server, conn net.Conn, held *bfresource.Conn) *connection {
	c := &connection{server: s, conn: conn, held: held, limited: &limitedReader{from: conn}, changed: make(chan struct{}, 1)}
	c.reader = bufio.NewReaderSize(c.limited, readBuffer)
	c.writer = bufio.NewWriterSize(conn, readBuffer)
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.idleUntil = time.Now().Add(s.limits().IdleTimeout)
	return c
}

// errClosed means that the connection is closed gracefully.
var errClosed = errors.New("connection closed")

// serve reads requests until the caller disconnects or the connection is closed.
func (c *connection) serve() {
	defer c.conn.Close()
	defer c.cancel()
	for {
		if err := c.await(); err != nil {
			c.shutdown(err)
			return
		}
		e, err := c.read()
		if err != nil {
			c.shutdown(err)
			return
		}
		if !c.admit(e) {
			e.held.End()
			continue
		}
		c.server.group.Go(c.server.config.Name+" request", e.run)
		// The handler reads the body from c.reader, so the next request must not be read until it is done.
		<-e.bodyDone
		c.limited.release()
	}
}

// await returns once the first byte of a request is available and the request may be read.
// Until then it buffers incoming bytes, so that it detects the end of the connection.
func (c *connection) await() error {
	defer c.stopAwaiting()
	for {
		blocked, err := c.wait()
		buffered := c.reader.Buffered()
		if err != nil || !blocked && buffered > 0 {
			return err
		}
		_, err = c.reader.Peek(buffered + 1)
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, bufio.ErrBufferFull):
			if !c.growBuffer() {
				// More is read once a request has ended.
				<-c.changed
			}
		default:
			return err
		}
	}
}

// growBuffer makes a full read buffer larger and reports whether it could: the end of a connection is seen only
// behind all the requests that are pipelined on it.
func (c *connection) growBuffer() bool {
	if c.reader.Size() >= largeReadBuffer || c.held.Charge(largeReadBuffer) != nil {
		return false
	}
	c.reader = bufio.NewReaderSize(c.reader, largeReadBuffer)
	return true
}

// wait reports whether the next request has to wait, and sets the read deadline. It returns
// errClosed if nothing is in flight and no further request is accepted.
func (c *connection) wait() (blocked bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = true
	deadline := time.Time{}
	if c.inFlight == 0 {
		deadline = c.idleUntil
		if c.closing || !time.Now().Before(deadline) {
			return false, errClosed
		}
	}
	c.blocked = c.mustWait()
	return c.blocked, c.conn.SetReadDeadline(deadline)
}

// mustWait reports whether the next request has to wait for one in flight. c.mu must be held.
func (c *connection) mustWait() bool {
	switch {
	case c.closing, c.inFlight >= maxConcurrentPerConn:
		return true
	case c.inFlight == 0:
		return false
	}
	return c.newest.exclusive || c.server.concurrent.Load() >= maxConcurrentTotal
}

// stopAwaiting ends the wait; after it no other goroutine sets the read deadline.
func (c *connection) stopAwaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
}

// read reads a request. A malformed one is replaced by one that is answered with an error.
func (c *connection) read() (*exchange, error) {
	held, exhausted := c.held.Begin(c.evictArrival)
	e, err := c.readHeld(held, exhausted)
	if err != nil {
		held.End()
		return nil, err
	}
	e.hold(held)
	return e, nil
}

// evictArrival ends the read of the request that arrives. Reads fail from now on until it is answered.
func (c *connection) evictArrival() {
	// An error means that the connection is broken, which ends the read as well.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// readHeld is read of a request whose memory is charged to held.
func (c *connection) readHeld(held *bfresource.Request, exhausted error) (*exchange, error) {
	if exhausted != nil {
		return c.unavailable(), nil
	}
	limits := c.server.limits()
	if err := c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if c.limited.allow(limits.HeaderBytes, held, buffered) != nil {
		return c.unavailable(), nil
	}
	request, err := http.ReadRequest(c.reader)
	c.limited.allowAll()
	switch {
	case c.limited.exhausted != nil:
		return c.unavailable(), nil
	case c.limited.exceeded:
		return c.rejection(http.StatusRequestHeaderFieldsTooLarge), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The caller is still connected and waits for the answers to earlier requests.
		return nil, errClosed
	case errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
		return nil, err
	case err != nil:
		return c.rejectionOf(err), nil
	case !isValid(request):
		return c.rejection(http.StatusBadRequest), nil
	case limits.BodyBytes > 0 && request.ContentLength > limits.BodyBytes:
		return c.rejection(http.StatusRequestEntityTooLarge), nil
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	e := newExchange(c, request.WithContext(bfresource.WithRequest(c.ctx, held)), c.server.config.Handler)
	e.limitBody(limits.BodyBytes)
	return e, nil
}

// isNetworkError reports whether err is a network error.
func isNetworkError(err error) bool {
	var netErr *net.OpError
	return errors.As(err, &netErr)
}

// rejection makes a request that is answered with an error status, after which the
// connection is closed.
func (c *connection) rejection(status int) *exchange {
	return c.rejectionBy(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, http.StatusText(status), status)
	}))
}

// unavailable is the rejection of a request for which no memory is left. It has not run.
func (c *connection) unavailable() *exchange {
	return c.rejectionBy(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		bfheader.WriteRetryAfterSeconds(w.Header(), bfresource.RetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
}

// rejectionBy is rejection with an answer by a handler, which receives nothing of the request.
func (c *connection) rejectionBy(handler http.Handler) *exchange {
	request := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody, Close: true}
	return newExchange(c, request.WithContext(c.ctx), handler)
}

// rejectionOf makes the rejection of a request that can't be parsed.
func (c *connection) rejectionOf(err error) *exchange {
	if reject := c.server.config.RejectHeader; reject != nil {
		if handler := reject(malformedHeader(err)); handler != nil {
			return c.rejectionBy(handler)
		}
	}
	return c.rejection(http.StatusBadRequest)
}

// malformedHeader returns the name of the header line that an error of http.ReadRequest quotes, ""
// if it quotes none.
func malformedHeader(err error) string {
	var malformed textproto.ProtocolError
	if !errors.As(err, &malformed) {
		return ""
	}
	_, line, _ := strings.Cut(string(malformed), `"`)
	name, _, _ := strings.Cut(line, ":")
	return name
}

// admit adds a request to the connection, unless the connection began to close meanwhile:
// then the request counts as not read, and its caller retries it.
func (c *connection) admit(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	if c.newest != nil {
		e.turn = c.newest.done
	}
	e.concurrent = c.inFlight > 0
	if e.concurrent {
		c.server.concurrent.Add(1)
	}
	c.inFlight++
	c.newest = e
	c.closing = e.request.Close
	return true
}

// announceClose reports whether an answer carries Connection: close. Only the newest
// request's answer does: otherwise the caller would resend later requests, which may
// already be running.
func (c *connection) announceClose(e *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || wanted
	return c.closing && c.newest == e
}

// closeAfterNewest has no further request read, so that the connection closes after the newest answer.
func (c *connection) closeAfterNewest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// remove removes an ended request from the connection.
func (c *connection) remove(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if e.concurrent {
		c.server.concurrent.Add(-1)
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
	case c.blocked:
		c.wake()
	case c.inFlight == 0:
		// No wake-up is needed: the pending read takes over the new deadline.
		_ = c.conn.SetReadDeadline(c.idleUntil)
	}
}

// wake makes the reading goroutine check the state again. c.mu must be held.
func (c *connection) wake() {
	// An error means that the connection is broken, which wakes the reader as well.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// stop closes the connection once all requests that were read are answered.
func (c *connection) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.awaiting {
		c.wake()
	}
}

const (
	// lingerTime is how long to wait for the caller to close its side after the last answer.
	// Closing a connection with unread bytes resets it, and the caller may lose the answer.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds the bytes discarded meanwhile.
	lingerBytes = 256 << 10
)

// shutdown closes the connection after reading has ended with reason.
func (c *connection) shutdown(reason error) {
	if !errors.Is(reason, errClosed) {
		c.cancel()
	}
	c.mu.Lock()
	c.closing = true
	newest := c.newest
	c.mu.Unlock()
	if newest == nil {
		return
	}
	<-newest.done
	if !errors.Is(reason, errClosed) {
		return
	}
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || c.limited.exhausted != nil || half.CloseWrite() != nil || c.conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The connection is closed next, whatever the error.
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)
}

// resetOnClose sets whether the connection ends with a reset, as it must in the middle of an answer that is
// delimited by the end of its connection: the answer would look complete otherwise.
func (c *connection) resetOnClose(reset bool) {
	lingering, ok := c.conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1 // the system's default
	if reset {
		seconds = 0
	}
	// An error means that the connection is broken.
	_ = lingering.SetLinger(seconds)
}
