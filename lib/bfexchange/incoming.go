package bfexchange

import (
	"errors"
	"io"
	"net/http"
	"syscall"

	"bilberryflow.org/lib/bfresource"
)

// ReadRequest reads up to limit bytes of a request's body and prepares the request for the next hop.
// A longer body stays in Rest. What is kept is charged to the resources in the context of the request.
func ReadRequest(r *http.Request, idHeader string, limit int64) (*Request, error) {
	request := &Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header,
		ID: r.Header.Get(idHeader), Length: r.ContentLength,
	}
	// The next hop's framing sets the length.
	delete(r.Header, "Content-Length")
	if r.ContentLength == 0 {
		return request, nil
	}
	held := bfresource.FromContext(r.Context())
	head, err := bfresource.ReadAll(io.LimitReader(r.Body, limit), min(r.ContentLength, limit), held)
	if err != nil {
		return nil, err
	}
	request.Head = head
	if int64(len(head)) == limit {
		if err := held.Charge(remainderBytes); err != nil {
			return nil, err
		}
		request.Rest = NewRemainder(r.Body)
	}
	return request, nil
}

// remainderBytes is what the buffers take through which a remainder is passed on.
const remainderBytes = 64 << 10

// IsReset reports whether an error means that the other side closed the connection.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
