package bfhop

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfresource"
)

// BodyError reports a request body that could not be read.
type BodyError struct {
	// TooLarge is set if the body exceeds the limit, Exhausted if there was no memory left for it.
	TooLarge  bool
	Exhausted bool
	Reason    string
}

// Error gives the reason.
func (e *BodyError) Error() string { return "request body: " + e.Reason }

// ReadBody reads the whole body of a request; its error is a BodyError.
//
// timeout limits the whole body, so that slow senders can't hold a node's
// connections indefinitely. The body is charged to the resources in the context of the
// request as it arrives, whatever length it states.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	// Only the recorders of tests do not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	body, err := bfresource.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, bfresource.FromContext(r.Context()))
	var over *http.MaxBytesError
	switch {
	case bfresource.IsExhausted(err):
		return nil, &BodyError{Exhausted: true, Reason: err.Error()}
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case err != nil:
		// The deadline stays set: the server drains the rest of the body before it
		// responds, and would wait for it indefinitely.
		return nil, &BodyError{Reason: err.Error()}
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func tooLarge(limit int64) error {
	return &BodyError{TooLarge: true, Reason: fmt.Sprintf("more than %d bytes", limit)}
}

// HasBody reports whether a response to method with status has a body.
//
// If it has none, its Content-Length is that of the body it would have.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// bufferedBytes is the size of writes that the connection's buffers accept without a reader.
const bufferedBytes = 4 << 10

// stallTimeout is the maximum time for a write without progress of the reader.
const stallTimeout = 10 * time.Second

// Write writes part of a response. It times out on a stalled reader, which would
// otherwise hold the target's slot, or memory, indefinitely.
func Write(w http.ResponseWriter, p []byte) error {
	if len(p) <= bufferedBytes {
		_, err := w.Write(p)
		return err
	}
	controller := http.NewResponseController(w)
	// Only the recorders of tests do not support deadlines.
	_ = controller.SetWriteDeadline(time.Now().Add(stallTimeout))
	if _, err := w.Write(p); err != nil {
		return err
	}
	_ = controller.SetWriteDeadline(time.Time{})
	return nil
}

// Copy copies the rest of a response; it returns errors of the source and of the reader separately.
func Copy(w http.ResponseWriter, from io.Reader) (readErr, writeErr error) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if writeErr = Write(w, buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil, nil
		case err != nil:
			return err, nil
		}
	}
}

const copyBytes = 32 << 10
