package bfexchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxForeign bounds the answers of other requests that are read past.
const maxForeign = 4

// maxForeignBytes bounds one of them.
const maxForeignBytes = 1 << 20

// ForeignError reports a connection that brought other requests' answers only.
type ForeignError struct{ Want, Got string }

// Error names both requests.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("answer of request %q where %q was asked", e.Got, e.Want)
}

// Answer is the answer to one request; Close must be called.
type Answer struct {
	client *Client
	conn   *conn
	// sound says that the connection may be kept once the body was read.
	sound    bool
	ended    bool
	response *http.Response
	release  func() bool
	written  <-chan error
}

// Status is the answer's status code.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header is the answer's header.
func (a *Answer) Header() http.Header { return a.response.Header }

// Length is the body's length in bytes, -1 where the answer does not say.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read reads the body. An error other than io.EOF means that the answer is cut.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close ends the exchange; an answer that was not read whole ends its connection.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	k := a.conn
	a.conn = nil
	// A context that ended has set the connection's deadline to the past.
	untouched := a.release()
	if a.ended && a.sound && untouched && a.requestWritten() && k.reader.Buffered() == 0 {
		a.client.give(k)
		return
	}
	k.Close()
}

// skipBytes bounds a body that is read past to keep its connection.
const skipBytes = 4 << 10

// Skip ends an exchange whose body nobody wants. A short body is read past, so that
// the connection is kept: targets that shed would else cost a new one for each
// request, 1,500 of 1,870 in 52 s of 16 instances of which four shed half.
func (a *Answer) Skip() {
	if length := a.Length(); length >= 0 && length <= skipBytes {
		// What can't be read ends with its connection.
		_, _ = io.Copy(io.Discard, a)
	}
	a.Close()
}

// requestWritten reports whether the whole request was sent. A target may answer
// before it has read a long body, keep the connection and read on: the next
// request's bytes would be taken for the rest of that body.
func (a *Answer) requestWritten() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Send sends the request to address and reads the header of its answer.
//
// Errors are NotSentError and LostError. The request leaves once.
func (c *Client) Send(ctx context.Context, address string, request *Request) (*Answer, error) {
	k, err := c.take(ctx, address)
	if err != nil {
		return nil, &NotSentError{Address: address, Reason: err}
	}
	release := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	written, sent := c.write(k, request)
	if sent != nil {
		release()
		k.Close()
		return nil, sent
	}
	answer, err := c.read(k, request)
	if err != nil {
		release()
		k.Close()
		return nil, &LostError{Address: address, Reused: k.reused, Reason: causeOf(ctx, err)}
	}
	answer.release, answer.written = release, written
	return answer, nil
}

// causeOf prefers the context's own error to the broken connection it led to.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// write sends the request. A long body is written beside the reading, since a
// target may answer before it has read it.
func (c *Client) write(k *conn, request *Request) (<-chan error, error) {
	done := make(chan error, 1)
	if request.Rest != nil {
		// The goroutine ends with the connection, which Close ends.
		c.spawn(func() { done <- request.write(k) })
		return done, nil
	}
	counted := &countingWriter{Writer: k}
	err := request.write(counted)
	done <- err
	if err == nil {
		return done, nil
	}
	if counted.written == 0 {
		return done, &NotSentError{Address: k.address, Reason: err}
	}
	// A target that refuses a long request may close before it has read it all;
	// its answer may be there all the same.
	return done, nil
}

func (c *Client) spawn(fn func()) { writers.Go("request body", fn) }

// read reads past answers of other requests until that of request comes.
func (c *Client) read(k *conn, request *Request) (*Answer, error) {
	sound := true
	got := ""
	for range maxForeign {
		response, err := readFinal(k, request.Method) //nolint:bodyclose // Answer.Close ends it with its connection.
		if err != nil {
			return nil, err
		}
		if c.options.IDHeader == "" || request.ID == "" || response.Header.Get(c.options.IDHeader) == request.ID {
			k.keep = keepFor(response.Header, c.options.IdleUnstated)
			return &Answer{client: c, conn: k, sound: sound && !response.Close, response: response}, nil
		}
		got, sound = response.Header.Get(c.options.IDHeader), false
		if err := skip(response); err != nil {
			return nil, err
		}
	}
	return nil, &ForeignError{Want: request.ID, Got: got}
}

// skip reads past the body of another request's answer.
func skip(response *http.Response) error {
	if response.Close {
		return &ForeignError{Got: "a connection that ends"}
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
	if err == nil && n == maxForeignBytes {
		err = errors.New("answer of another request is too long to read past")
	}
	return err
}

// readFinal reads an answer that is not merely informational.
func readFinal(k *conn, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// closeMargin is kept from the time that the peer keeps a connection: a request
// that crosses the peer's close has an unknown outcome.
const closeMargin = time.Second

// keepFor is how long a connection may lie unused.
func keepFor(h http.Header, unstated time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		stated, err := strconv.Atoi(value)
		if err != nil || stated < 0 {
			return unstated
		}
		keep := time.Duration(stated) * time.Second
		return max(keep-closeMargin, keep/4)
	}
	return unstated
}
