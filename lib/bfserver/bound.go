package bfserver

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfresource"
)

// boundListener accepts the connections that its port has room for, and closes the others.
type boundListener struct {
	net.Listener
	port *bfresource.Port
}

// Accept returns the next connection.
func (l boundListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &boundConn{Conn: accepted}
		c.held, err = l.port.Accept(accepted)
		if err == nil {
			return c, nil
		}
		accepted.Close()
	}
}

// boundConn is a connection of which the heads are charged as they arrive.
type boundConn struct {
	net.Conn
	held *bfresource.Conn

	mu sync.Mutex
	// reading is set while a head is awaited or read. request is the request of the head, nil before its first
	// byte, and charged what its head has been charged.
	reading bool
	request *bfresource.Request
	charged int64
	// shared is set for HTTP/2, whose requests share the connection; begun once bytes have arrived.
	shared, begun bool
}

// preface begins the connections of HTTP/2.
var preface = []byte("PRI * HTTP/2.0")

// Read reads bytes. It fails as a broken connection does once a head gets no memory: the server then closes the
// connection, and the request has not run.
func (c *boundConn) Read(p []byte) (int, error) {
	if err := c.evicted(); err != nil {
		return 0, c.readError(err)
	}
	head := c.awaitedHead()
	head.BeginRead()
	n, err := c.Conn.Read(p)
	head.EndRead(n)
	if n > 0 {
		if exhausted := c.arrived(p[:n]); exhausted != nil {
			return 0, c.readError(exhausted)
		}
	}
	if err != nil {
		if evicted := c.evicted(); evicted != nil {
			err = c.readError(evicted)
		}
	}
	return n, err
}

func (c *boundConn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// evicted returns the error of a request that others got the memory of.
func (c *boundConn) evicted() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request.Evicted()
}

// awaitedHead returns the request of which the head is read, nil for none.
func (c *boundConn) awaitedHead() *bfresource.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return nil
	}
	return c.request
}

// arrived charges bytes of a head.
func (c *boundConn) arrived(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		c.begun, c.shared = true, bytes.HasPrefix(p, preface)
	}
	if !c.reading || c.shared {
		return nil
	}
	if c.request == nil {
		request, err := c.held.Begin(c.evict)
		c.request, c.charged = request, 0
		if err != nil {
			return err
		}
	}
	cost := bfresource.HeadCost(len(p), bytes.Count(p, []byte{'\n'}))
	c.charged += cost
	return c.request.Charge(cost)
}

// evict ends the arrival of the connection's request.
func (c *boundConn) evict() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// await begins to await the next head.
func (c *boundConn) await() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRequest()
	c.reading = true
}

// endRequest ends the request of the connection; c.mu must be held.
func (c *boundConn) endRequest() {
	c.request.End()
	c.request = nil
}

// begin returns the request of a head that was read, with the part of its cost that was charged.
func (c *boundConn) begin(w http.ResponseWriter) (request *bfresource.Request, charged int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.shared {
		controller := http.NewResponseController(w)
		request, err := c.held.Begin(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
		return request, 0, err
	}
	if c.request == nil {
		// The head arrived with the request before it.
		c.charged = 0
		c.request, err = c.held.Begin(c.evict)
	}
	return c.request, c.charged, err
}

// Close closes the connection.
func (c *boundConn) Close() error {
	c.mu.Lock()
	c.endRequest()
	c.reading = false
	c.mu.Unlock()
	c.held.Close()
	return c.Conn.Close()
}

// SetWriteBuffer sets the size in bytes of the operating system's send buffer, or returns EINVAL.
func (c *boundConn) SetWriteBuffer(bytes int) error {
	underlying, ok := c.Conn.(interface{ SetWriteBuffer(int) error })
	if !ok {
		return syscall.EINVAL
	}
	return underlying.SetWriteBuffer(bytes)
}

// CloseWrite closes the sending side, so that the other end gets an answer of which it has not read all.
func (c *boundConn) CloseWrite() error {
	underlying, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.EINVAL
	}
	return underlying.CloseWrite()
}

// bound returns the connection that a server knows as c, nil for one without bounds.
func bound(c net.Conn) *boundConn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	b, _ := c.(*boundConn)
	return b
}

// followState tells a connection that the server awaits its next head.
func followState(c net.Conn, state http.ConnState) {
	if b := bound(c); b != nil && (state == http.StateNew || state == http.StateIdle) {
		b.await()
	}
}

type contextKey struct{}

// addBoundConn adds the connection to the contexts of its requests.
func addBoundConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, bound(c))
}

// boundHandler charges the requests of bound connections.
type boundHandler struct {
	http.Handler
	exhausted http.HandlerFunc
}

func newBoundHandler(handler http.Handler, exhausted http.HandlerFunc) boundHandler {
	if exhausted == nil {
		exhausted = refuse
	}
	return boundHandler{handler, exhausted}
}

// refuse answers that a request has not run and when to send it again.
func refuse(w http.ResponseWriter, _ *http.Request) {
	bfheader.WriteRetryAfterSeconds(w.Header(), bfresource.RetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ServeHTTP serves a request, or answers that there is no memory for it.
func (h boundHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(contextKey{}).(*boundConn)
	if c == nil {
		h.Handler.ServeHTTP(w, r)
		return
	}
	request, charged, err := c.begin(w)
	defer request.End()
	if err == nil {
		err = request.Charge(headCost(r) - charged)
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		h.exhausted(w, r)
		return
	}
	if r.Body == nil || r.Body == http.NoBody {
		request.Arrived()
	} else {
		r.Body = &boundBody{r.Body, request}
	}
	h.Handler.ServeHTTP(w, r.WithContext(bfresource.WithRequest(r.Context(), request)))
}

// headCost returns the cost of the head of a request.
func headCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return bfresource.HeadCost(size, lines)
}

// boundBody is a body that tells when it has arrived.
type boundBody struct {
	io.ReadCloser
	request *bfresource.Request
}

// Read reads the body. It fails with a *bfresource.ExhaustedError once others got the memory of the request.
func (b *boundBody) Read(p []byte) (int, error) {
	if err := b.request.Evicted(); err != nil {
		return 0, err
	}
	b.request.BeginRead()
	n, err := b.ReadCloser.Read(p)
	b.request.EndRead(n)
	if err == nil {
		return n, nil
	}
	if evicted := b.request.Evicted(); evicted != nil && !errors.Is(err, io.EOF) {
		return n, evicted
	}
	b.request.Arrived()
	return n, err
}
