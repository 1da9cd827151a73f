package bfforward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"bilberryflow.org/lib/bfheader"
)

// Request is a request as it is forwarded.
type Request struct {
	Method string
	// Target is the escaped path with the query, as written in the request line.
	Target string
	Header http.Header
	Body   []byte
}

// NotSentError reports a request of which no byte was sent.
type NotSentError struct {
	Address string
	Reason  error
}

// Error names the peer and the reason.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to %s: %v", e.Address, e.Reason) }

// Unwrap is the reason.
func (e *NotSentError) Unwrap() error { return e.Reason }

// LostError reports a request that may have arrived but got no response.
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

// LateAnswerError reports an answer to the request that the connection carried before.
type LateAnswerError struct{ ID string }

// Error includes the ID of that request.
func (e *LateAnswerError) Error() string {
	return fmt.Sprintf("received the answer to the earlier request %q", e.ID)
}

// Send sends the request to the peer at address without retries; its errors are
// NotSentError and LostError.
//
// sending, if not nil, is called before the first byte is written. Send takes
// ownership of the header.
func (c *Client) Send(ctx context.Context, address string, r Request, sending func()) (*http.Response, error) {
	permit, writing := &writePermit{onFirstWrite: sending}, newWriting()
	id, earlier := r.Header.Get(bfheader.RequestID), ""
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if dedicated, exclusive := info.Conn.(*conn); exclusive {
			dedicated.permit.Store(permit)
			earlier = dedicated.begin(id)
			return
		}
		// Writes on a shared connection can't be attributed to a request.
		permit.acquire(nil)
	}, WroteRequest: writing.end}
	response, err := c.peer(address).RoundTrip(newRequest(httptrace.WithClientTrace(ctx, trace), address, r))
	if err == nil {
		err = check(response)
	}
	switch {
	case err == nil && earlier != "" && earlier != id && response.Header.Get(bfheader.RequestID) == earlier:
		response.Body.Close()
		return nil, &LostError{Address: address, Reason: &LateAnswerError{ID: earlier}}
	case err == nil:
		if len(r.Body) > 0 && response.ProtoMajor == 1 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			response.Body = &unframedBody{ReadCloser: response.Body, writing: writing, ctx: ctx}
		}
		return response, nil
	case permit.revoke():
		return nil, &NotSentError{Address: address, Reason: err}
	default:
		return nil, &LostError{Address: address, Reason: err}
	}
}

// check closes a response that is none and returns why.
func check(response *http.Response) error {
	err := bfheader.CheckResponse(response)
	if err != nil {
		response.Body.Close()
	}
	return err
}

// newRequest builds the request without http.NewRequest, which would parse the
// target and drop what it takes for a fragment.
func newRequest(ctx context.Context, address string, r Request) *http.Request {
	header := r.Header
	if header == nil {
		header = http.Header{}
	}
	if header["User-Agent"] == nil {
		// An empty value keeps net/http from adding its own User-Agent.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: r.Method, URL: &url.URL{Scheme: "http", Host: address, Opaque: r.Target}, Host: address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: header, Body: http.NoBody, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		// net/http recognizes a bytes.Reader and writes header and body together.
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return request.WithContext(ctx)
}
