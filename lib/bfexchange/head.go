package bfexchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfheader"
)

const (
	// maxHeadBytes bounds the head of an answer, including the informational ones before it. Targets
	// send a few hundred bytes.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds its lines: a parsed line takes about twenty times the bytes of a short one.
	maxHeadLines = 1 << 10
	// maxInformational bounds the informational answers before the final one.
	maxInformational = 16
	// headTimeout bounds the time from the first byte of a head to its end. Targets write a head at
	// once; the time that they run a request passes before it.
	headTimeout = 2 * time.Second
)

// HeadError reports an answer whose head exceeds a limit. The peer may send without end.
type HeadError struct {
	// Limit names what was exceeded.
	Limit string
}

// Error includes the limit.
func (e *HeadError) Error() string {
	return fmt.Sprintf("no valid head of an answer within %s", e.Limit)
}

// headReader reads from a connection, and bounds the bytes and lines read while a head is awaited.
type headReader struct {
	conn net.Conn
	// inHead is set while a head is awaited; left and lines are the bytes left for it and the lines read.
	inHead bool
	left   int
	lines  int
}

// begin starts a head.
func (r *headReader) begin() { r.inHead, r.left, r.lines = true, maxHeadBytes, 0 }

// end ends the head: what follows is the body, which its reader bounds.
func (r *headReader) end() { r.inHead = false }

// Read reads from the connection. A read may reach into the body, so the lines of a read count at the
// next one only.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.conn.Read(p)
	}
	switch {
	case r.left <= 0:
		return 0, &HeadError{Limit: fmt.Sprintf("%d bytes", maxHeadBytes)}
	case r.lines > maxHeadLines:
		return 0, &HeadError{Limit: fmt.Sprintf("%d lines", maxHeadLines)}
	}
	n, err := r.conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.lines += bytes.Count(p[:n], []byte("\n"))
	return n, err
}

// readFinal reads the next answer that is not informational (1xx).
func readFinal(k *conn, method string, upload *upload) (*http.Response, error) {
	k.source.begin()
	defer k.source.end()
	for range maxInformational + 1 {
		response, err := k.readHead(method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusProcessing && response.Header.Get(bfheader.GoAhead) != "" {
			upload.proceed()
		}
	}
	return nil, &HeadError{Limit: fmt.Sprintf("%d informational answers", maxInformational)}
}

// readHead reads one head, within headTimeout from its first byte.
func (k *conn) readHead(method string) (*http.Response, error) {
	k.begun = false
	if _, err := k.reader.Peek(1); err != nil {
		return nil, eofError(err)
	}
	k.begun = true
	timeout := time.AfterFunc(headTimeout, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	response, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if !timeout.Stop() {
		return nil, &HeadError{Limit: headTimeout.String()}
	}
	if err == nil {
		err = bfheader.CheckResponse(response)
	}
	return response, err
}

// eofError returns the error of a connection that ended before a head, as http.ReadResponse does.
func eofError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
