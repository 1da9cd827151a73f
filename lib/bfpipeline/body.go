package bfpipeline

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// requestBody tells when the body was read to its end, and asks for it where the
// caller waits to be asked.
type requestBody struct {
	exchange *exchange
	// mu is held while the body is read: a long body is sent on beside the answer.
	mu    sync.Mutex
	from  io.ReadCloser
	asked bool
	over  bool
}

// Read reads the body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over {
		return 0, http.ErrBodyReadAfterClose
	}
	if err := b.ask(); err != nil {
		return 0, err
	}
	n, err := b.from.Read(p)
	if err != nil {
		b.exchange.bodyEnds()
	}
	return n, err
}

// isAwaited reports whether the caller waits to be asked for the body; it needs the lock.
func (b *requestBody) isAwaited() bool {
	return !b.asked && httpguts.HeaderValuesContainsToken(b.exchange.request.Header["Expect"], "100-continue")
}

// ask sends the interim answer that the caller waits for before it sends the body.
// The request's turn has come: one with a body runs alone.
func (b *requestBody) ask() error {
	if !b.isAwaited() {
		return nil
	}
	b.asked = true
	to := b.exchange.connection.writer
	if _, err := io.WriteString(to, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return to.Flush()
}

// skip reads past at most so many bytes, and reports whether that was all. It gives
// up where somebody else reads, or the caller waits to be asked.
func (b *requestBody) skip(most int64) bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	if b.isAwaited() {
		return false
	}
	b.over = true
	if _, err := io.CopyN(io.Discard, b.from, most); !errors.Is(err, io.EOF) {
		return false
	}
	b.exchange.bodyEnds()
	return true
}

// Close leaves the rest of the body to the connection.
func (b *requestBody) Close() error { return nil }
