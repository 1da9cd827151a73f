package bfforward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptrace"
	"sync"
)

// writing is the state of the write of one request.
type writing struct {
	once sync.Once
	// ended is closed once the request was written or could not be; err is why not.
	ended chan struct{}
	err   error
}

func newWriting() *writing { return &writing{ended: make(chan struct{})} }

// end records the result.
func (w *writing) end(info httptrace.WroteRequestInfo) {
	w.once.Do(func() {
		w.err = info.Err
		close(w.ended)
	})
}

// ResetError reports a response without a length whose connection ended before the request was written.
type ResetError struct{ Reason error }

// Error includes why the request was not written.
func (e *ResetError) Error() string {
	return fmt.Sprintf("response without a length may be incomplete, the request was not written: %v", e.Reason)
}

// Unwrap is the reason.
func (e *ResetError) Unwrap() error { return e.Reason }

// unframedBody is a body that is delimited by the end of its connection. The system reports a reset once: if
// it fails the write of the request, the read of the body gets the end.
type unframedBody struct {
	io.ReadCloser
	writing *writing
	ctx     context.Context
}

// Read reads the body, and fails with a *ResetError at its end if the request was not written.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	select {
	case <-b.writing.ended:
	case <-b.ctx.Done():
		return n, &ResetError{Reason: b.ctx.Err()}
	}
	if b.writing.err != nil {
		return n, &ResetError{Reason: b.writing.err}
	}
	return n, io.EOF
}
