package bfforward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"bilberryflow.org/lib/bfheader"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// with runs a test against a server, over both protocols.
func with(t *testing.T, handler http.HandlerFunc, test func(is *is.I, client *Client, address string)) {
	for _, protocol := range []Protocol{HTTP1, HTTP2} {
		t.Run(string(protocol), func(t *testing.T) {
			server := httptest.NewUnstartedServer(handler)
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetHTTP1(true)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			defer server.Close()
			options := DefaultOptions()
			options.Protocol = protocol
			client := New(options)
			defer client.Sweep(time.Now().Add(time.Hour), 0)
			test(is.New(t), client, server.Listener.Addr().String())
		})
	}
}

func get(is *is.I, client *Client, address string) {
	response, err := client.Send(context.Background(), address, Request{Method: http.MethodGet, Target: "/"}, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	response.Body.Close()
}

// A caller's nomination carries an idempotency key and the connection breaks
// after the target got it. net/http would send such a request again by itself
// on a reused connection, so the nomination would run twice without anyone
// having decided that; it must arrive once and be reported as lost.
func TestSendNeverRepeatsByItself(t *testing.T) {
	var arrived atomic.Int32
	handler := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.Method == http.MethodPost {
			arrived.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	with(t, handler, func(is *is.I, client *Client, address string) {
		for _, body := range [][]byte{nil, []byte("fuel")} {
			arrived.Store(0)
			get(is, client, address) // leaves a connection to be reused
			header := http.Header{bfheader.IdempotencyKey: {"n-1"}}
			sent := 0
			_, err := client.Send(context.Background(), address, //nolint:bodyclose // it has no answer
				Request{Method: http.MethodPost, Target: "/", Header: header, Body: body}, func() { sent++ })
			var lost *LostError
			is.True(errors.As(err, &lost))
			is.Equal(arrived.Load(), int32(1))
			is.Equal(sent, 1)
		}
	})
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

// A nomination is given a pooled connection at the moment in which its
// deadline ends. The connection was free, but nothing was written to it: the
// caller can be told "not run", and nothing may be written afterwards.
func TestNothingIsWrittenAfterNotSent(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	carrier := &conn{Conn: near}
	defer carrier.Close()
	is.NoErr(far.SetDeadline(time.Now().Add(5 * time.Second)))
	is.NoErr(near.SetDeadline(time.Now().Add(5 * time.Second)))
	d := &departure{}
	carrier.current.Store(d)
	is.True(d.stay())
	_, err := carrier.Write([]byte("POST"))
	is.True(errors.Is(err, errRepeated))
	carrier.current.Store(&departure{})
	go func() { _, _ = carrier.Write([]byte("GET")) }()
	got, err := bufio.NewReader(far).Peek(1)
	is.NoErr(err)
	is.Equal(string(got), "G")
}

// A caller's target holds what a parser would take for a fragment, and it named
// no user agent. The next node must get the request as it was sent: it is
// compared with a resend byte by byte.
func TestSendKeepsTheRequestAsItIs(t *testing.T) {
	var got http.Request
	handler := func(_ http.ResponseWriter, r *http.Request) { got = *r }
	with(t, handler, func(is *is.I, client *Client, address string) {
		response, err := client.Send(context.Background(), address, Request{Method: http.MethodPost, Target: "/a%20b?x=%zz&y=1#z"}, nil)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(got.RequestURI, "/a%20b?x=%zz&y=1#z")
		is.Equal(got.ContentLength, int64(0))
		is.Equal(len(got.TransferEncoding), 0)
		is.Equal(got.Header.Get("User-Agent"), "")
	})
}

func TestWarmOpensAConnection(t *testing.T) {
	with(t, func(http.ResponseWriter, *http.Request) {}, func(is *is.I, client *Client, address string) {
		is.NoErr(client.Warm(context.Background(), address))
		var reused bool
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
		})
		response, err := client.Send(ctx, address, Request{Method: http.MethodGet, Target: "/"}, nil)
		is.NoErr(err)
		response.Body.Close()
		is.True(reused)
	})
}
