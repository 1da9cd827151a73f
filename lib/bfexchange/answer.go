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

	"bilberryflow.org/lib/bfheader"
)

// maxMismatched bounds the answers with another request's ID that are discarded.
const maxMismatched = 4

// maxMismatchedBytes bounds the body of a discarded answer.
const maxMismatchedBytes = 1 << 20

// MismatchError reports a connection that delivered only answers to other requests. Want
// and Got are request IDs.
type MismatchError struct{ Want, Got string }

// Error includes both request IDs.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("received the answer to request %q instead of %q", e.Got, e.Want)
}

// Answer is the answer to one request. Its user must call Close.
type Answer struct {
	client *Client
	conn   *conn
	// reusable is set if the connection may be reused once the body has been read.
	reusable   bool
	ended      bool
	response   *http.Response
	stopCancel func() bool
	upload     *upload
	// ctx is that of the send.
	ctx context.Context
}

// ResetError reports an answer without a length whose connection ended before the request was written.
type ResetError struct{ Reason error }

// Error includes why the request was not written.
func (e *ResetError) Error() string {
	return fmt.Sprintf("answer without a length may be incomplete, the request was not written: %v", e.Reason)
}

// Unwrap returns the reason.
func (e *ResetError) Unwrap() error { return e.Reason }

// Status is the answer's status code.
func (a *Answer) Status() int { return a.response.StatusCode }

// Header is the answer's header.
func (a *Answer) Header() http.Header { return a.response.Header }

// Length is the length of the body in bytes, -1 if not stated.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Read reads the body. An error other than io.EOF means that the answer is incomplete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if err := a.end(); err != nil {
			return n, err
		}
	}
	return n, err
}

// end checks what follows the body.
func (a *Answer) end() error {
	// The trailer is read with the end of the body.
	if err := bfheader.CheckFields(a.response.Trailer); err != nil {
		return err
	}
	if err := a.checkReset(); err != nil {
		return err
	}
	a.ended = true
	return nil
}

// checkReset returns a *ResetError if the connection of an answer that is delimited by its end may have been
// reset. The system reports a reset once: if it fails the write of the request, the read gets the end.
func (a *Answer) checkReset() error {
	if a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0 {
		return nil
	}
	if err := a.upload.awaitWritten(a.ctx); err != nil {
		return &ResetError{Reason: err}
	}
	return nil
}

// Close releases the connection for reuse, or closes it if the answer was not read to its end.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	k := a.conn
	a.conn = nil
	a.upload.stop()
	// If the context has ended, its AfterFunc has set the connection's deadline to the past.
	notCancelled := a.stopCancel()
	if a.ended && a.reusable && notCancelled && a.upload.isWritten() && k.reader.Buffered() == 0 {
		a.client.put(k)
		return
	}
	k.Close()
}

// maxDiscardBytes bounds the body that Discard reads to reuse the connection.
const maxDiscardBytes = 4 << 10

// Discard closes an answer whose body is not needed. It reads a short body to its end, so
// that the connection can be reused; otherwise a target that sheds load would also have to
// accept a new connection for each request.
func (a *Answer) Discard() {
	if length := a.Length(); length >= 0 && length <= maxDiscardBytes {
		// After a read error Close closes the connection.
		_, _ = io.Copy(io.Discard, a)
	}
	a.Close()
}

// Send sends the request to address and reads the header of its answer. It does not retry.
//
// Its errors are NotSentError and LostError.
func (c *Client) Send(ctx context.Context, address string, request *Request) (*Answer, error) {
	k, err := c.get(ctx, address, request)
	if err != nil {
		return nil, &NotSentError{Address: address, Reason: err}
	}
	return c.sendOver(ctx, k, request)
}

// sendOver is Send over a given connection, which it closes if there is no answer.
func (c *Client) sendOver(ctx context.Context, k *conn, request *Request) (*Answer, error) {
	if id := c.historyID(request); id != 0 {
		k.history.add(ctx, id, time.Now())
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	upload, err := c.write(k, request)
	if err != nil {
		stopCancel()
		k.Close()
		return nil, err
	}
	answer, err := c.read(k, request, upload)
	if err != nil {
		stopCancel()
		k.Close()
		upload.stop()
		return nil, &LostError{Address: k.address, Reused: k.reused, Begun: k.begun, Reason: causeOf(ctx, err)}
	}
	answer.stopCancel, answer.upload, answer.ctx = stopCancel, upload, ctx
	return answer, nil
}

// causeOf returns the context's error, if it has one, instead of the connection error that
// it caused.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// read discards answers to other requests until the one to request arrives.
func (c *Client) read(k *conn, request *Request, upload *upload) (*Answer, error) {
	reusable := true
	got := ""
	for range maxMismatched {
		response, err := readFinal(k, request.Method, upload) //nolint:bodyclose // Answer.Close ends it with its connection.
		if err != nil {
			return nil, err
		}
		if c.options.IDHeader == "" || response.Header.Get(c.options.IDHeader) == request.ID {
			k.idleTimeout = idleTimeoutOf(response.Header, c.options.DefaultIdleTimeout)
			return &Answer{client: c, conn: k, reusable: reusable && !response.Close, response: response}, nil
		}
		c.discarded.Add(1)
		got, reusable = response.Header.Get(c.options.IDHeader), false
		if err := discardBody(response); err != nil {
			return nil, err
		}
	}
	return nil, &MismatchError{Want: request.ID, Got: got}
}

// discardBody reads the body of another request's answer.
func discardBody(response *http.Response) error {
	if response.Close {
		return &MismatchError{Got: "(connection closed)"}
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes))
	if err == nil && n == maxMismatchedBytes {
		err = errors.New("answer to another request is too long to discard")
	}
	return err
}

// closeMargin is subtracted from the peer's keep-alive timeout: a request sent while the
// peer closes the connection has an unknown outcome.
const closeMargin = time.Second

// idleTimeoutOf is how long a connection may be idle before it is no longer reused.
func idleTimeoutOf(h http.Header, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return fallback
		}
		timeout := time.Duration(seconds) * time.Second
		return max(timeout-closeMargin, timeout/4)
	}
	return fallback
}
