package bfhop

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// BodyError reports a request body that was not taken.
type BodyError struct {
	// TooLarge tells a body over the limit from one that did not come.
	TooLarge bool
	Reason   string
}

// Error gives the reason.
func (e *BodyError) Error() string { return "request body: " + e.Reason }

// ReadBody reads a request's body whole; its error is a BodyError.
//
// A sender that brings a byte now and then would hold the connection, and at a
// spike all of a node's, until it pleases; so the whole body has until timeout.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// A connection that takes no deadline is a test's recorder, whose body is there.
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return nil, tooLarge(limit)
	case err != nil:
		// The deadline stays: the server reads on for the rest of the body
		// before it answers, and would wait for it without one.
		return nil, &BodyError{Reason: err.Error()}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body.Bytes(), nil
}

func tooLarge(limit int64) error {
	return &BodyError{TooLarge: true, Reason: fmt.Sprintf("more than %d bytes", limit)}
}

// HasBody reports whether an answer to method with status has a body at all.
//
// Where it has none, its Content-Length speaks of the body that there would be.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// bufferedBytes is what the buffers of a connection take whatever its reader does.
const bufferedBytes = 4 << 10

// stallTimeout is how long a reader may take nothing of an answer.
const stallTimeout = 10 * time.Second

// Write writes part of an answer, and gives up on a reader that takes nothing:
// it would hold the target's slot, or memory, for good.
func Write(w http.ResponseWriter, p []byte) error {
	if len(p) <= bufferedBytes {
		_, err := w.Write(p)
		return err
	}
	control := http.NewResponseController(w)
	// A connection that takes no deadline is a test's recorder, which takes all.
	_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
	if _, err := w.Write(p); err != nil {
		return err
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil
}

// Copy copies the rest of an answer; it tells a source that broke off from a reader that went away.
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
