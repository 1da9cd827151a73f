package bfexchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Chunked is the Length of a body that is sent with chunked transfer encoding.
const Chunked = -1

// Request is a request as sent over one hop.
type Request struct {
	Method string
	// Target is the path and query, unchanged from the received request line.
	Target string
	Host   string
	Header http.Header
	// ID is what the answer must repeat. If it is empty, the answer must have none.
	ID string
	// Head is the beginning of the body, or all of it. It can be sent more than once.
	Head []byte
	// Rest is the remainder of the body, nil if Head is complete.
	Rest *Remainder
	// Length is the length of the body in bytes, or Chunked.
	Length int64
	// Sending is called once there is a connection, before the first byte is sent; nil is allowed.
	Sending func()
	// Received is called with the bytes of the remainder as they arrive, and with err once it has ended; nil is
	// allowed.
	Received func(bytes int, err error)
}

// Resendable reports whether an attempt can send the whole body.
func (r *Request) Resendable() bool { return r.Rest == nil || !r.Rest.Begun() }

// NotSentError reports a request of which no byte was sent: it has not run.
type NotSentError struct {
	Address string
	Reason  error
}

// Error includes the address and the reason.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Reason) }

// Unwrap returns the reason.
func (e *NotSentError) Unwrap() error { return e.Reason }

// LostError reports a request that was sent and not answered: it may have run.
type LostError struct {
	Address string
	// Reused is set if the connection had carried earlier requests.
	Reused bool
	// Begun is set if bytes of an answer arrived, other than complete informational ones before it.
	Begun  bool
	Reason error
}

// Error includes the address and the reason.
func (e *LostError) Error() string { return fmt.Sprintf("no answer from %s: %v", e.Address, e.Reason) }

// Unwrap returns the reason.
func (e *LostError) Unwrap() error { return e.Reason }

var headerBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// countingWriter counts the bytes written.
type countingWriter struct {
	io.Writer
	written int64
}

// Write writes p and counts the bytes written.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.written += int64(n)
	return n, err
}

// write sends the request, with rest as the remainder of the body, nil for none. Header and Head go in one
// write, so that a small request fits one packet.
func (r *Request) write(to io.Writer, rest io.Reader) error {
	buffer := headerBuffers.Get().(*bytes.Buffer)
	defer headerBuffers.Put(buffer)
	buffer.Reset()
	r.writeHeader(buffer)
	if r.Length == Chunked {
		return r.writeChunks(buffer, to, rest)
	}
	buffer.Write(r.Head)
	if _, err := to.Write(buffer.Bytes()); err != nil {
		return err
	}
	if rest == nil {
		return nil
	}
	_, err := io.CopyN(to, rest, r.Length-int64(len(r.Head)))
	return err
}

func (r *Request) writeHeader(to *bytes.Buffer) {
	to.WriteString(r.Method)
	to.WriteByte(' ')
	to.WriteString(r.Target)
	to.WriteString(" HTTP/1.1\r\nHost: ")
	to.WriteString(r.Host)
	to.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			to.WriteString(name)
			to.WriteString(": ")
			to.WriteString(value)
			to.WriteString("\r\n")
		}
	}
	switch {
	case r.Length == Chunked:
		to.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || mayHaveBody(r.Method):
		to.WriteString("Content-Length: ")
		to.WriteString(strconv.FormatInt(r.Length, 10))
		to.WriteString("\r\n")
	}
	to.WriteString("\r\n")
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (r *Request) writeChunks(buffer *bytes.Buffer, to io.Writer, rest io.Reader) error {
	if len(r.Head) > 0 {
		writeChunk(buffer, r.Head)
	}
	if rest == nil {
		buffer.WriteString("0\r\n\r\n")
	}
	if _, err := to.Write(buffer.Bytes()); err != nil || rest == nil {
		return err
	}
	piece := make([]byte, 16<<10)
	for {
		n, err := rest.Read(piece)
		if n > 0 {
			buffer.Reset()
			writeChunk(buffer, piece[:n])
			if _, writeErr := to.Write(buffer.Bytes()); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(to, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

func writeChunk(to *bytes.Buffer, piece []byte) {
	to.WriteString(strconv.FormatInt(int64(len(piece)), 16))
	to.WriteString("\r\n")
	to.Write(piece)
	to.WriteString("\r\n")
}
