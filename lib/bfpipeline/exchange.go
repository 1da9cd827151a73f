package bfpipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfresource"
)

// exchange is a request and its answer; it is the handler's http.ResponseWriter.
//
// Except for its channels and SetWriteDeadline it is used only by the handler's goroutine.
type exchange struct {
	connection *connection
	request    *http.Request
	handler    http.Handler
	// exclusive is set if the request runs only after all earlier ones are answered, and no
	// later one is read before it is answered itself.
	exclusive bool
	// concurrent is set if the request runs while an earlier one is in flight.
	concurrent bool
	// turn is closed once all earlier requests are answered, nil for the first.
	turn <-chan struct{}
	// body is the request's body, nil if it has none.
	body *requestBody
	// bodyDone is closed once no more of the request's body needs to be read.
	bodyDone chan struct{}
	bodyOnce sync.Once
	// done is closed once the request is answered or aborted.
	done chan struct{}
	// held is what the process holds for the request, nil where nothing is bounded.
	held *bfresource.Request

	header  http.Header
	status  int
	closes  bool
	chunked io.WriteCloser
	// remaining is the unwritten rest of an answer with a stated length, -1 if it is delimited
	// by the end of the connection.
	remaining int64
	// writeErr is why nothing more can be written.
	writeErr error
	// bounded is set if the connection has a write deadline. Another goroutine may set one, to end the answer.
	bounded atomic.Bool
}

func newExchange(c *connection, request *http.Request, handler http.Handler) *exchange {
	e := &exchange{
		connection: c, handler: handler, header: http.Header{},
		bodyDone: make(chan struct{}), done: make(chan struct{}),
	}
	e.request = request
	if c.conn != nil {
		e.request.RemoteAddr = c.conn.RemoteAddr().String()
	}
	mayRunConcurrently := c.server.config.MayRunConcurrently
	e.exclusive = request.Body != http.NoBody || mayRunConcurrently == nil || !mayRunConcurrently(e.request)
	if request.Body == http.NoBody {
		e.finishBody()
	} else {
		e.body = &requestBody{exchange: e, from: request.Body}
		e.request.Body = e.body
	}
	return e
}

// isValid reports whether a parsed request may be forwarded.
func isValid(r *http.Request) bool {
	if r.ProtoMajor != 1 || r.ProtoAtLeast(1, 1) && r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

// limitBody limits the size of the request's body.
func (e *exchange) limitBody(limit int64) {
	if limit > 0 && e.request.Body != http.NoBody {
		e.request.Body = http.MaxBytesReader(e, e.request.Body, limit)
	}
}

// run serves the request.
func (e *exchange) run(context.Context) error {
	defer e.end()
	if e.exclusive && !e.awaitTurn() {
		return nil
	}
	if e.handle() {
		e.finish()
	} else {
		e.abort()
	}
	return nil
}

// handle calls the handler. If it returns false, the answer must look incomplete.
func (e *exchange) handle() (complete bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		complete = false
		if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			// A panic of the handler ends its request and not the process.
			e.connection.server.config.Logger.Emit(bflog.InvariantBroken,
				slog.String("panic", fmt.Sprint(value)), slog.String("stack", string(debug.Stack())))
		}
	}()
	e.handler.ServeHTTP(e, e.request)
	return true
}

// end removes the request from its connection, after all earlier ones. A request whose
// caller disconnected ends early; waiting keeps the next one from writing its answer
// while an earlier one is still being written.
func (e *exchange) end() {
	e.finishBody()
	if e.turn != nil {
		<-e.turn
	}
	if e.bounded.Load() {
		// An error means that the connection is broken.
		_ = e.connection.conn.SetWriteDeadline(time.Time{})
	}
	e.held.End()
	e.connection.remove(e)
	close(e.done)
}

// finishBody marks the request's body as done.
func (e *exchange) finishBody() {
	e.bodyOnce.Do(func() {
		e.held.Arrived()
		close(e.bodyDone)
	})
}

// hold has the request keep what the process holds for it, until its end.
func (e *exchange) hold(held *bfresource.Request) {
	e.held = held
	if e.bodyIsDone() {
		held.Arrived()
	}
}

// abort closes the connection at once.
func (e *exchange) abort() {
	e.writeErr = http.ErrAbortHandler
	e.connection.cancel()
	e.connection.conn.Close()
}

// awaitTurn waits until all earlier requests are answered. It returns false if the
// connection ended first.
func (e *exchange) awaitTurn() bool {
	if e.turn == nil {
		return true
	}
	select {
	case <-e.turn:
		return true
	case <-e.connection.ctx.Done():
		return false
	}
}

// SetWriteDeadline bounds the time in which the caller reads this answer; http.ResponseController calls it.
// After it the answer is incomplete and the connection is closed.
func (e *exchange) SetWriteDeadline(deadline time.Time) error {
	if !e.awaitTurn() {
		return http.ErrAbortHandler
	}
	e.bounded.Store(true)
	return e.connection.conn.SetWriteDeadline(deadline)
}

// Header returns the answer's header.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader waits for the request's turn and begins the answer.
func (e *exchange) WriteHeader(status int) {
	if e.status != 0 {
		return
	}
	e.status = status
	if !e.awaitTurn() {
		e.writeErr = http.ErrAbortHandler
		return
	}
	e.discardBody()
	e.frame()
	wanted := e.closes || httpguts.HeaderValuesContainsToken(e.header["Connection"], "close")
	e.closes = e.connection.announceClose(e, wanted)
	e.writeErr = e.writeHead()
}

// discardBody reads the rest of a short request body, so that the connection can be kept
// open. If more is left, the connection is closed after the answer.
func (e *exchange) discardBody() {
	if e.body == nil || e.bodyIsDone() {
		return
	}
	if !e.body.discard(lingerBytes) {
		e.closes = true
	}
}

// bodyIsDone reports whether no more of the request's body needs to be read.
func (e *exchange) bodyIsDone() bool {
	select {
	case <-e.bodyDone:
		return true
	default:
		return false
	}
}

// writeHead writes the status line and the header.
func (e *exchange) writeHead() error {
	to := e.connection.writer
	delete(e.header, "Connection")
	if e.closes {
		e.header["Connection"] = []string{"close"}
	}
	if _, dated := e.header["Date"]; !dated {
		e.header["Date"] = []string{time.Now().UTC().Format(http.TimeFormat)}
	}
	line := "HTTP/1.1 " + strconv.Itoa(e.status) + " " + http.StatusText(e.status) + "\r\n"
	if _, err := to.WriteString(line); err != nil {
		return err
	}
	if err := e.header.Write(to); err != nil {
		return err
	}
	_, err := to.WriteString("\r\n")
	return err
}

// frame chooses the framing of the body: the stated Content-Length, chunked encoding, or
// for HTTP/1.0 callers the end of the connection.
func (e *exchange) frame() {
	delete(e.header, "Transfer-Encoding")
	length, err := strconv.ParseInt(e.header.Get("Content-Length"), 10, 64)
	switch {
	case e.bodiless():
		e.remaining = 0
	case err == nil && length >= 0:
		e.remaining = length
	case e.request.ProtoAtLeast(1, 1):
		delete(e.header, "Content-Length")
		e.header["Transfer-Encoding"] = []string{"chunked"}
		e.chunked = httputil.NewChunkedWriter(e.connection.writer)
	default:
		e.remaining, e.closes = -1, true
		e.connection.resetOnClose(true)
	}
}

// bodiless reports whether the answer has no body, whatever its header says.
func (e *exchange) bodiless() bool {
	return e.request.Method == http.MethodHead || e.status == http.StatusNoContent || e.status == http.StatusNotModified
}

// Write writes part of the answer's body.
func (e *exchange) Write(p []byte) (int, error) {
	if e.status == 0 {
		e.WriteHeader(http.StatusOK)
	}
	switch {
	case e.writeErr != nil:
		return 0, e.writeErr
	case e.bodiless() || len(p) == 0:
		return len(p), nil
	case e.chunked != nil:
		return e.recordErr(e.chunked.Write(p))
	case e.remaining < 0:
		return e.recordErr(e.connection.writer.Write(p))
	case int64(len(p)) > e.remaining:
		return 0, http.ErrContentLength
	}
	e.remaining -= int64(len(p))
	return e.recordErr(e.connection.writer.Write(p))
}

// recordErr stores the error of a write and returns its arguments.
func (e *exchange) recordErr(n int, err error) (int, error) {
	if err != nil {
		e.writeErr = err
	}
	return n, err
}

// finish completes the answer. An answer shorter than its Content-Length is aborted.
func (e *exchange) finish() {
	if e.status == 0 {
		e.header.Set("Content-Length", "0")
		e.WriteHeader(http.StatusOK)
	}
	if e.writeErr == nil && e.chunked != nil {
		_, e.writeErr = e.recordErr(0, e.endChunks())
	}
	if e.writeErr == nil && e.remaining <= 0 {
		e.writeErr = e.connection.writer.Flush()
	}
	if e.writeErr == nil && e.remaining < 0 {
		e.connection.resetOnClose(false)
	}
	if e.writeErr != nil || e.remaining > 0 {
		e.abort()
	}
}

// endChunks writes the last chunk and the empty trailer.
func (e *exchange) endChunks() error {
	if err := e.chunked.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(e.connection.writer, "\r\n")
	return err
}
