package bfexchange

import (
	"context"
	"errors"
	"sync"
	"time"

	"bilberryflow.org/lib/bfheader"
)

// goAheadTimeout is how long the remainder is held back. Peers of an earlier release don't ask for it.
const goAheadTimeout = 300 * time.Millisecond

// HoldBack has the remainder of the body wait until the peer, another node, asks for it. If the peer refuses
// the request first, another attempt can send it.
func (r *Request) HoldBack() {
	if r.Rest != nil {
		r.Header[bfheader.GoAhead] = []string{bfheader.GoAheadMark}
	}
}

// upload is the sending of one request's body, nil for one that was sent at once.
type upload struct {
	// loan is the right to read the remainder, nil if there is none.
	loan *loan
	// received is that of the request.
	received func(bytes int, err error)
	// goAhead is closed once the remainder may be sent, stopped once it is no longer wanted.
	goAhead, stopped         chan struct{}
	goAheadOnce, stoppedOnce sync.Once
	// finished is closed once the request was written or could not be; err is why not.
	finished chan struct{}
	err      error
}

// failedUpload is the upload of a request that could not be written to its end.
func failedUpload(err error) *upload {
	u := &upload{finished: make(chan struct{}), err: err}
	close(u.finished)
	return u
}

// proceed has the remainder sent.
func (u *upload) proceed() {
	if u != nil && u.loan != nil {
		u.goAheadOnce.Do(func() { close(u.goAhead) })
	}
}

// stop ends the upload: a remainder that was not read can be sent by another attempt.
func (u *upload) stop() {
	if u != nil && u.loan != nil {
		u.stoppedOnce.Do(func() { close(u.stopped) })
		u.loan.giveBack()
	}
}

// isWritten reports whether the whole request was sent. A target may answer before it has read a long body
// and keep the connection open: it would then read the next request as the rest of that body.
func (u *upload) isWritten() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.finished:
		return u.err == nil
	default:
		return false
	}
}

// awaitWritten waits until the whole request was sent, and returns why it was not.
func (u *upload) awaitWritten(ctx context.Context) error {
	if u == nil {
		return nil
	}
	select {
	case <-u.finished:
		return u.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errStopped is the error of an upload that was stopped before its remainder was sent.
var errStopped = errors.New("upload was stopped")

// Read reads the remainder once it may be sent.
func (u *upload) Read(p []byte) (int, error) {
	if err := u.await(); err != nil {
		return 0, err
	}
	n, err := u.loan.Read(p)
	if u.received != nil {
		u.received(n, err)
	}
	return n, err
}

// await waits until the remainder may be sent.
func (u *upload) await() error {
	select {
	case <-u.goAhead:
		return nil
	default:
	}
	timeout := time.NewTimer(goAheadTimeout)
	defer timeout.Stop()
	select {
	case <-u.goAhead:
	case <-timeout.C:
		u.proceed()
	case <-u.stopped:
		return errStopped
	}
	return nil
}

// write sends the request. A long body is written in a separate goroutine, since a target
// may answer before it has read the body.
func (c *Client) write(k *conn, request *Request) (*upload, error) {
	if request.Rest != nil {
		loan, err := request.Rest.lend()
		if err != nil {
			return nil, &NotSentError{Address: k.address, Reason: err}
		}
		u := &upload{loan: loan, received: request.Received, goAhead: make(chan struct{}), stopped: make(chan struct{}), finished: make(chan struct{})}
		if len(request.Header[bfheader.GoAhead]) == 0 {
			u.proceed()
		}
		request.announceSending()
		writers.Go("request body", func() { u.run(k, request) })
		return u, nil
	}
	request.announceSending()
	counted := &countingWriter{Writer: k}
	err := request.write(counted, nil)
	if err != nil && counted.written == 0 {
		return nil, &NotSentError{Address: k.address, Reason: err}
	}
	if err != nil {
		// A target that refuses a long request may close the connection before it has
		// read it all, and its answer may still be readable.
		return failedUpload(err), nil
	}
	return nil, nil
}

// run sends the request. If the sender of the body ends it early, the connection is closed: the peer would
// wait for the rest, and hold a slot for it.
func (u *upload) run(k *conn, request *Request) {
	u.err = request.write(k, u)
	close(u.finished)
	if u.err != nil && !errors.Is(u.err, errStopped) && request.Rest.Err() != nil {
		_ = k.SetDeadline(time.Unix(1, 0))
	}
}

func (r *Request) announceSending() {
	if r.Sending != nil {
		r.Sending()
	}
}
