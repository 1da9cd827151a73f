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
	"time"

	"golang.org/x/net/http/httpguts"

	"bilberryflow.org/lib/bflog"
)

// exchange is one request with its answer; it is the handler's http.ResponseWriter.
//
// The handler's goroutine alone uses it, but for the channels.
type exchange struct {
	connection *connection
	request    *http.Request
	handler    http.Handler
	// alone says that the request runs only once all before it are answered, and
	// that none behind it is read before it is answered itself.
	alone  bool
	beside bool
	// turn is closed once all requests before this one are answered, nil for the first.
	turn <-chan struct{}
	// body is the request's body, nil where it has none.
	body *requestBody
	// bodyOver is closed once the request's body needs no more reading.
	bodyOver chan struct{}
	bodyOnce sync.Once
	// over is closed once the request is answered or given up.
	over chan struct{}

	header  http.Header
	status  int
	closes  bool
	chunked io.WriteCloser
	// left is what is missing of an answer of a stated length.
	left int64
	// failed is why nothing more can be written.
	failed error
}

func newExchange(c *connection, request *http.Request, handler http.Handler) *exchange {
	e := &exchange{
		connection: c, handler: handler, header: http.Header{},
		bodyOver: make(chan struct{}), over: make(chan struct{}),
	}
	e.request = request.WithContext(c.ctx)
	if c.conn != nil {
		e.request.RemoteAddr = c.conn.RemoteAddr().String()
	}
	beside := c.server.parts.Beside
	e.alone = request.Body != http.NoBody || beside == nil || !beside(e.request)
	if request.Body == http.NoBody {
		e.bodyEnds()
	} else {
		e.body = &requestBody{exchange: e, from: request.Body}
		e.request.Body = e.body
	}
	return e
}

// sound reports whether a request that was parsed is one that may be passed on.
func sound(r *http.Request) bool {
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

// limitBody bounds a body whose length is not stated.
func (e *exchange) limitBody(most int64) {
	if most > 0 && e.request.Body != http.NoBody {
		e.request.Body = http.MaxBytesReader(e, e.request.Body, most)
	}
}

// run takes the request to its end.
func (e *exchange) run(context.Context) error {
	defer e.end()
	if e.alone && !e.awaitTurn() {
		return nil
	}
	if e.handle() {
		e.finish()
	} else {
		e.cut()
	}
	return nil
}

// handle calls the handler; false means that the answer must not look whole.
func (e *exchange) handle() (whole bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		whole = false
		if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			// A fault of the program's own ends one request and not the process.
			e.connection.server.parts.Logger.Emit(bflog.InvariantBroken,
				slog.String("panic", fmt.Sprint(value)), slog.String("stack", string(debug.Stack())))
		}
	}()
	e.handler.ServeHTTP(e, e.request)
	return true
}

// end takes the request off its connection, after all before it: one whose caller has
// left ends early, and its end must not let the next one write beside an older one.
func (e *exchange) end() {
	e.bodyEnds()
	if e.turn != nil {
		<-e.turn
	}
	e.connection.ended(e)
	close(e.over)
}

func (e *exchange) bodyEnds() { e.bodyOnce.Do(func() { close(e.bodyOver) }) }

// cut ends the connection in the middle.
func (e *exchange) cut() {
	e.failed = http.ErrAbortHandler
	e.connection.cancel()
	e.connection.conn.Close()
}

// awaitTurn waits until all requests before this one are answered; false means that
// the connection ended first.
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

// Header is the answer's header.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader begins the answer once its turn has come.
func (e *exchange) WriteHeader(status int) {
	if e.status != 0 {
		return
	}
	e.status = status
	if !e.awaitTurn() {
		e.failed = http.ErrAbortHandler
		return
	}
	e.skipBody()
	e.frame()
	wanted := e.closes || httpguts.HeaderValuesContainsToken(e.header["Connection"], "close")
	e.closes = e.connection.announceClose(e, wanted)
	e.failed = e.writeHead()
}

// skipBody reads past a short rest of the request's body, so that the connection can
// be kept; where it can't, the connection ends.
func (e *exchange) skipBody() {
	if e.body == nil || e.bodyIsOver() {
		return
	}
	if !e.body.skip(lingerBytes) {
		e.closes = true
	}
}

func (e *exchange) bodyIsOver() bool {
	select {
	case <-e.bodyOver:
		return true
	default:
		return false
	}
}

// writeHead writes the status line and the header, and chooses how the body ends.
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

// frame chooses how the body is delimited: by the length that the handler stated, in
// chunks, or for callers of HTTP/1.0 by the connection's end.
func (e *exchange) frame() {
	delete(e.header, "Transfer-Encoding")
	length, err := strconv.ParseInt(e.header.Get("Content-Length"), 10, 64)
	switch {
	case e.bodiless():
		e.left = 0
	case err == nil && length >= 0:
		e.left = length
	case e.request.ProtoAtLeast(1, 1):
		delete(e.header, "Content-Length")
		e.header["Transfer-Encoding"] = []string{"chunked"}
		e.chunked = httputil.NewChunkedWriter(e.connection.writer)
	default:
		e.left, e.closes = -1, true
	}
}

// bodiless reports whether the answer has no body, whatever its header says.
func (e *exchange) bodiless() bool {
	return e.request.Method == http.MethodHead || e.status == http.StatusNoContent || e.status == http.StatusNotModified
}

// Write writes a part of the answer's body.
func (e *exchange) Write(p []byte) (int, error) {
	if e.status == 0 {
		e.WriteHeader(http.StatusOK)
	}
	switch {
	case e.failed != nil:
		return 0, e.failed
	case e.bodiless() || len(p) == 0:
		return len(p), nil
	case e.chunked != nil:
		return e.keep(e.chunked.Write(p))
	case e.left < 0:
		return e.keep(e.connection.writer.Write(p))
	case int64(len(p)) > e.left:
		return 0, http.ErrContentLength
	}
	e.left -= int64(len(p))
	return e.keep(e.connection.writer.Write(p))
}

func (e *exchange) keep(n int, err error) (int, error) {
	if err != nil {
		e.failed = err
	}
	return n, err
}

// finish ends the answer. One that is shorter than it stated must not look whole.
func (e *exchange) finish() {
	if e.status == 0 {
		e.header.Set("Content-Length", "0")
		e.WriteHeader(http.StatusOK)
	}
	if e.failed == nil && e.chunked != nil {
		_, e.failed = e.keep(0, e.endChunks())
	}
	if e.failed == nil && e.left <= 0 {
		e.failed = e.connection.writer.Flush()
	}
	if e.failed != nil || e.left > 0 {
		e.cut()
	}
}

func (e *exchange) endChunks() error {
	if err := e.chunked.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(e.connection.writer, "\r\n")
	return err
}
