package bfpipeline

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// requestBody reports when the body has been read to its end, and sends 100 Continue to
// callers that expect it.
type requestBody struct {
	exchange *exchange
	// mu is held during reads: a long body may still be forwarded while the answer is written.
	mu        sync.Mutex
	from      io.ReadCloser
	continued bool
	closed    bool
}

// Read reads the body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if err := b.sendContinue(); err != nil {
		return 0, err
	}
	n, err := b.from.Read(p)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			// What follows is not the next request but the rest of this one.
			b.exchange.connection.closeAfterNewest()
		}
		b.exchange.finishBody()
	}
	return n, err
}

// awaitsContinue reports whether the caller waits for 100 Continue. b.mu must be held.
func (b *requestBody) awaitsContinue() bool {
	return !b.continued && httpguts.HeaderValuesContainsToken(b.exchange.request.Header["Expect"], "100-continue")
}

// sendContinue sends 100 Continue if the caller waits for it. It may write without waiting
// for its turn, since a request with a body runs alone.
func (b *requestBody) sendContinue() error {
	if !b.awaitsContinue() {
		return nil
	}
	b.continued = true
	to := b.exchange.connection.writer
	if _, err := io.WriteString(to, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return to.Flush()
}

// discard reads at most limit bytes of the body and reports whether that was the rest of
// it. It returns false at once during a concurrent read, or if the caller waits for 100
// Continue.
func (b *requestBody) discard(limit int64) bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	if b.awaitsContinue() {
		return false
	}
	b.closed = true
	if _, err := io.CopyN(io.Discard, b.from, limit); !errors.Is(err, io.EOF) {
		return false
	}
	b.exchange.finishBody()
	return true
}

// Close does nothing; the connection discards the rest of the body.
func (b *requestBody) Close() error { return nil }
