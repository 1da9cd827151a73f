package bfexchange

import (
	"errors"
	"io"
	"sync"
)

// Remainder is what follows Request.Head in a body. It arrives once, from the sender of the request: the
// first attempt that begins to read it is the only one that gets it. It is safe for concurrent use.
type Remainder struct {
	mu   sync.Mutex
	from io.Reader
	// lent is the attempt that may read, nil if none.
	lent *loan
	// begun is set once any of it has been read.
	begun bool
	// err is the error of the sender's stream, nil for none.
	err error
}

// NewRemainder returns a remainder that is read from a stream.
func NewRemainder(from io.Reader) *Remainder { return &Remainder{from: from} }

// Begun reports whether any of it has been read, so that no other attempt can send the body.
func (r *Remainder) Begun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun
}

// Err returns the error with which the sender's stream ended, nil if it has not or was complete.
func (r *Remainder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// UnavailableBodyError reports an attempt to send a body of which another attempt has the remainder.
type UnavailableBodyError struct{}

// Error says so.
func (*UnavailableBodyError) Error() string {
	return "the rest of the body has been read by another attempt"
}

// lend gives the remainder to an attempt. It fails with an *UnavailableBodyError if another attempt has it.
func (r *Remainder) lend() (*loan, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun || r.lent != nil {
		return nil, &UnavailableBodyError{}
	}
	r.lent = &loan{of: r}
	return r.lent, nil
}

// loan is one attempt's right to read a remainder.
type loan struct{ of *Remainder }

// Read reads the remainder, and fails with an *UnavailableBodyError after giveBack.
func (l *loan) Read(p []byte) (int, error) {
	r := l.of
	r.mu.Lock()
	if r.lent != l {
		r.mu.Unlock()
		return 0, &UnavailableBodyError{}
	}
	r.begun = true
	r.mu.Unlock()
	n, err := r.from.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}
	return n, err
}

// giveBack ends the loan: a remainder that was not read can be lent again.
func (l *loan) giveBack() {
	l.of.mu.Lock()
	defer l.of.mu.Unlock()
	if l.of.lent == l {
		l.of.lent = nil
	}
}
