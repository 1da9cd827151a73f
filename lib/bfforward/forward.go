package bfforward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
)

// Request is what goes over the hop.
type Request struct {
	Method string
	// Target is the escaped path with the query, as it is to stand in the request line.
	Target string
	Header http.Header
	Body   []byte
}

// NotSentError reports a request of which no byte left this node.
type NotSentError struct {
	Address string
	Reason  error
}

// Error names the peer and the reason.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Reason) }

// Unwrap is the reason.
func (e *NotSentError) Unwrap() error { return e.Reason }

// LostError reports a request that may have arrived and has no answer.
type LostError struct {
	Address string
	Reason  error
}

// Error names the peer and the reason.
func (e *LostError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Reason)
}

// Unwrap is the reason.
func (e *LostError) Unwrap() error { return e.Reason }

// Send sends the request to the peer at address, once; its errors are NotSentError and LostError.
//
// sending is called before the first byte can leave. Send takes the header over.
func (c *Client) Send(ctx context.Context, address string, r Request, sending func()) (*http.Response, error) {
	d := &departure{before: sending}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if carrier, exclusive := info.Conn.(*conn); exclusive {
			carrier.current.Store(d)
			return
		}
		// A shared connection doesn't show whose bytes it writes.
		d.leave(nil)
	}}
	response, err := c.peer(address).RoundTrip(newRequest(httptrace.WithClientTrace(ctx, trace), address, r))
	switch {
	case err == nil:
		return response, nil
	case d.stay():
		return nil, &NotSentError{Address: address, Reason: err}
	default:
		return nil, &LostError{Address: address, Reason: err}
	}
}

// newRequest makes the request by hand: http.NewRequest would parse the target
// and leave out what it takes for a fragment.
func newRequest(ctx context.Context, address string, r Request) *http.Request {
	header := r.Header
	if header == nil {
		header = http.Header{}
	}
	if header["User-Agent"] == nil {
		// An empty one keeps net/http from adding its own to a caller's request.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: r.Method, URL: &url.URL{Scheme: "http", Host: address, Opaque: r.Target}, Host: address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: header, Body: http.NoBody, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		// net/http knows this reader and writes header and body together.
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return request.WithContext(ctx)
}
