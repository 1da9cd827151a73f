package bfforward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfheader"
)

// A caller's nomination carries an idempotency key and the connection breaks
// after the target got it. net/http would send such a request again by itself
// on a reused connection, so the nomination would run twice without anyone
// having decided that; it must arrive once and be reported as lost.
func TestSendNeverRepeatsByItself(t *testing.T) {
	for _, body := range [][]byte{nil, []byte("fuel")} {
		is := is.New(t)
		var arrived atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			is.NoErr(err)
			if r.Method == http.MethodPost {
				arrived.Add(1)
				panic(http.ErrAbortHandler)
			}
		}))
		client := New(DefaultOptions())
		address := server.Listener.Addr().String()
		// The first request leaves a connection to be reused.
		response, err := client.Send(context.Background(), address, Request{Method: http.MethodGet, Target: "/"}, nil)
		is.NoErr(err)
		response.Body.Close()
		header := http.Header{bfheader.IdempotencyKey: {"n-1"}}
		sent := 0
		_, err = client.Send(context.Background(), address, //nolint:bodyclose // it has no answer
			Request{Method: http.MethodPost, Target: "/", Header: header, Body: body}, func() { sent++ })
		var lost *LostError
		is.True(errors.As(err, &lost))
		is.Equal(arrived.Load(), int32(1))
		is.Equal(sent, 1)
		server.Close()
	}
}

// Nothing listens at the peer's address. The caller may be told "not run" only
// on proof, and a refused connection is one: no byte left.
func TestSendKnowsThatNothingLeft(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener.Close()
	sent := 0
	_, err = New(DefaultOptions()).Send(context.Background(), listener.Addr().String(), //nolint:bodyclose // it has no answer
		Request{Method: http.MethodPost, Target: "/"}, func() { sent++ })
	var notSent *NotSentError
	is.True(errors.As(err, &notSent))
	is.Equal(sent, 0)
}
